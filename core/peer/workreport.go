package peer

import "rattantrack.dev/core/inflight"

// Work holds what upstreams still have to do for some routers and how fast the upstreams have said to work.
type Work struct {
	// Prompt and Events are the prompt tokens to prefill and the stream events to send. Prompt carries the names of the upstreams if the
	// receiver may have another list of them.
	Prompt, Events inflight.Packed
	// Readings are the latest statements of upstreams on their speed, as packed by package work.
	Readings []byte
}

// WorkReport sends what UsageReport does and the work, in a fleet whose upstreams state their speed. The reply is WorkTotals.
type WorkReport struct {
	Usage UsageReport
	Work  Work
}

// Kind returns KindWorkReport.
func (*WorkReport) Kind() Kind { return KindWorkReport }

// WorkTotals is the reply to WorkReport.
type WorkTotals struct {
	Usage UsageTotals
	Work  Work
}

// Kind returns KindWorkTotals.
func (*WorkTotals) Kind() Kind { return KindWorkTotals }
