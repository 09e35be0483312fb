package peer

import (
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/ratelimit"
)

// Usage holds the requests of routers for the upstreams with rate limits, and these limits.
type Usage struct {
	// Wanted and Sent are the numbers of requests meant for and sent to each upstream within the windows of package ratelimit. The
	// empty id counts the routers.
	Wanted, Sent inflight.Packed
	// LimitsDigest identifies the limits that the sender knows. Limits holds them if the receiver may have others.
	LimitsDigest uint64
	Limits       []ratelimit.Statement
}

// UsageReport sends the counts of LoadReport and the usage of rate limits. Loads.Open is empty in a fleet whose routers exchange their
// counts themselves. The reply is UsageTotals.
type UsageReport struct {
	Loads LoadReport
	Usage Usage
}

// Kind returns KindUsageReport.
func (*UsageReport) Kind() Kind { return KindUsageReport }

// UsageTotals is the reply to UsageReport.
type UsageTotals struct {
	Loads LoadTotals
	Usage Usage
}

// Kind returns KindUsageTotals.
func (*UsageTotals) Kind() Kind { return KindUsageTotals }
