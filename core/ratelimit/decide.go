package ratelimit

import (
	"time"

	"rattantrack.dev/core/call"
)

// Figures of the decision.
const (
	// wantedWindow is the time over which requests that are meant for an upstream are counted. It spans many exchanges of counts and
	// is short enough to follow a burst.
	wantedWindow = 1500 * time.Millisecond
	// peakDecay is the time constant with which a peak of the demand is forgotten. It spans several exchanges of counts and windows.
	peakDecay = 3 * time.Second
	// sentWindow is the time over which requests that were sent count against maxExcess.
	sentWindow = 2 * time.Second
	// maxExcess is by how much the requests sent within sentWindow may exceed the limit, while the demand changes faster than the
	// counts. One more request is always allowed, for low rates.
	maxExcess = 1.0
	// minRate is the lowest rate at which requests are sent. A limit ends with an answer that does not state it, so without any
	// request its end would not be noticed.
	minRate call.Rate = 0.25
)

// demand is what is known of the requests for an upstream with a limit.
type demand struct {
	// wanted is the number of requests of all heard routers that were meant for the upstream within wantedWindow, sent that of the
	// requests sent to it within sentWindow.
	wanted, sent int
	// peak is the latest peak of wanted, faded by the time since.
	peak float64
	// heard is the number of routers whose requests are counted, known that of all routers that may send some.
	heard, known int
}

// share returns the share of the requests meant for an upstream that may be sent to it. Each router sends that share of its own, so that
// together they send at the rate of the limit (global random drop: Raghavan et al., Cloud Control with Distributed Rate Limiting, 2007).
// It answers many routers with few requests each: none of them has to know when the others send, only how much is wanted. Routers
// that are not heard may be cut off and still send, so those that hear each other leave them their equal part of the limit.
func share(rate call.Rate, d demand) float64 {
	if load := load(rate, d); load > 1 {
		return 1 / load
	}
	return 1
}

// load returns the rate of the requests meant for an upstream as a multiple of what it allows. The latest peak counts: many routers that
// find room at the same time would otherwise all use it before the counts show it.
func load(rate call.Rate, d demand) float64 {
	return max(float64(d.wanted), d.peak) / (allowance(rate, d) * wantedWindow.Seconds())
}

// exhausted reports whether so much has been sent that no request may follow now, whatever the share.
func exhausted(rate call.Rate, d demand) bool {
	return float64(d.sent) > maxExcess*allowance(rate, d)*sentWindow.Seconds()
}

// allowance returns the rate that the routers that hear each other may use together, in requests per second.
func allowance(rate call.Rate, d demand) float64 {
	return float64(max(rate, minRate)) * min(1, float64(d.heard)/float64(max(1, d.known)))
}
