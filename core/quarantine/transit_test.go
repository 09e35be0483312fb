package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
)

// transit carries the evidence of routers to each other.
type transit struct {
	rand *rand.Rand
	// longest is the longest time that a delivery takes.
	longest time.Duration
	// sent is the last change of each router that is on its way or has arrived.
	sent       []Change
	deliveries []delivery
}

// delivery is evidence on its way from one router to all others.
type delivery struct {
	at       clock.Instant
	from     int
	evidence Evidence
}

func newTransit(r *rand.Rand, routers int, longest time.Duration) *transit {
	return &transit{rand: r, longest: longest, sent: make([]Change, routers)}
}

// exchange sends what is new at each router, and merges what has arrived.
func (x *transit) exchange(now clock.Instant, trackers []Tracker) {
	for i := range trackers {
		var e Evidence
		if e, x.sent[i] = trackers[i].Since(now, x.sent[i]); !e.Empty() {
			at := now.Add(time.Duration(x.rand.Float64() * float64(x.longest)))
			x.deliveries = append(x.deliveries, delivery{at: at, from: i, evidence: e})
		}
	}
	var left []delivery
	for _, d := range x.deliveries {
		if d.at > now {
			left = append(left, d)
			continue
		}
		for j := range trackers {
			if j != d.from {
				trackers[j].Merge(now, transitRouter(d.from), d.evidence)
			}
		}
	}
	x.deliveries = left
}

// transitRouter returns the id under which a router's evidence is merged.
func transitRouter(i int) inflight.RouterID { return inflight.RouterID(fmt.Sprint("r", i)) }
