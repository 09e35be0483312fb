package candidates

import (
	"slices"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// MaxRequests limits the requests to sides in one candidate order, including the last one to the least loaded side.
const MaxRequests = 5

// Order yields the sides to try for one request. It cannot be reused.
type Order struct {
	// ranked holds the sides by rendezvous rank, and named those that the hint or the last refusal names.
	ranked      [3]settings.UpstreamID
	rankedCount int
	named       [4]settings.UpstreamID
	namedCount  int
	tried       [MaxRequests]settings.UpstreamID
	requests    int
	primary     settings.UpstreamID
	// leastLoaded is the side with the smallest load among those that RecordOverloaded received.
	leastLoaded settings.UpstreamID
	leastLoad   settings.Tokens
	ended       bool
	excluded    []settings.UpstreamID
}

// New returns an order that starts with the hint, if it is a usable side, and continues by the chat's rendezvous ranking.
func New(set *rendezvous.Set, chat uint64, hint settings.UpstreamID) Order {
	var o Order
	o.rankedCount = set.Top(chat, o.ranked[:])
	if o.rankedCount > 0 {
		o.primary = o.ranked[0]
	}
	if hint != "" && hint != o.primary && slices.Contains(set.IDs(), hint) {
		o.named[0] = hint
		o.namedCount = 1
	}
	return o
}

// Primary returns the chat's primary, or an empty ID if no upstream is usable.
func (o *Order) Primary() settings.UpstreamID { return o.primary }

// Step is the next side to try.
type Step struct {
	Side settings.UpstreamID
	// Redirected reports that another side was tried before.
	Redirected bool
	// LastCandidate reports that no further side will be tried and that this one had the smallest load among the sides that
	// RecordOverloaded received.
	LastCandidate bool
}

// Next returns the next side to try, and false if there is none left. At the end, the least loaded of the sides that
// RecordOverloaded received is tried once more. That side then admits the request whatever its load.
func (o *Order) Next() (Step, bool) {
	if o.ended {
		return Step{}, false
	}
	if o.requests < MaxRequests-1 {
		if side, ok := o.candidate(); ok {
			return o.advance(side), true
		}
	}
	o.ended = true
	if o.leastLoaded == "" {
		return Step{}, false
	}
	o.requests++
	return Step{Side: o.leastLoaded, Redirected: true, LastCandidate: true}, true
}

// candidate returns the first side that was not tried yet. Named sides come before ranked ones.
func (o *Order) candidate() (settings.UpstreamID, bool) {
	for _, side := range o.named[:o.namedCount] {
		if side != "" && !o.wasTried(side) {
			return side, true
		}
	}
	for _, side := range o.ranked[:o.rankedCount] {
		if !o.wasTried(side) {
			return side, true
		}
	}
	return "", false
}

func (o *Order) advance(side settings.UpstreamID) Step {
	redirected := o.requests > 0
	o.tried[o.requests] = side
	o.requests++
	return Step{Side: side, Redirected: redirected}
}

func (o *Order) wasTried(side settings.UpstreamID) bool {
	return slices.Contains(o.tried[:o.requests], side) || slices.Contains(o.excluded, side)
}

// Exclude leaves out the given sides, also if a refusal names them.
func (o *Order) Exclude(sides []settings.UpstreamID) { o.excluded = sides }

// Prepend sets the sides that a refusal names. They replace those of an earlier refusal and come before the ranked sides.
func (o *Order) Prepend(next []settings.UpstreamID) {
	o.namedCount = copy(o.named[:], next)
}

// RecordOverloaded records the load of a side that refused as overloaded or in favour of another side.
func (o *Order) RecordOverloaded(side settings.UpstreamID, load settings.Tokens) {
	if o.leastLoaded == "" || load < o.leastLoad {
		o.leastLoaded = side
		o.leastLoad = load
	}
}

// Requests returns the number of requests to sides so far.
func (o *Order) Requests() int { return o.requests }
