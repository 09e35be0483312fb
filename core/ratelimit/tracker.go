package ratelimit

import (
	"sync"
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// Bounds of what a Tracker remembers.
const (
	// statementTime is how long a limit holds that its upstream has not stated again. An upstream with the lowest rate that is
	// sent to states it several times in this time.
	statementTime = 5 * time.Minute
	// maxUpstreams bounds the upstreams whose statements are remembered.
	maxUpstreams = 8192
)

// limit is what one process of an upstream has last stated.
type limit struct {
	incarnation members.Incarnation
	// rate is the limit, nil if the upstream has stated none since it ended one.
	rate *call.Rate
	// at is when the statement was made.
	at clock.Instant
}

// Tracker holds the limits that upstreams have named; its zero value is ready to use.
type Tracker struct {
	mu     sync.Mutex
	limits map[settings.UpstreamID]*limit
}

// Record records what an upstream has stated in an answer, nil for no limit, and reports whether that is new.
func (t *Tracker) Record(now clock.Instant, inst members.Instance, rate *call.Rate) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[inst.ID]
	if l == nil && rate == nil {
		return false
	}
	if l == nil || l.incarnation != inst.Incarnation {
		if l == nil && len(t.limits) >= maxUpstreams {
			t.expire(now)
		}
		l = t.add(inst.ID, inst.Incarnation)
	}
	changed := !same(l.rate, rate)
	l.rate, l.at = rate, now
	return changed
}

func (t *Tracker) add(id settings.UpstreamID, incarnation members.Incarnation) *limit {
	if t.limits == nil {
		t.limits = make(map[settings.UpstreamID]*limit)
	}
	l := &limit{incarnation: incarnation}
	t.limits[id] = l
	return l
}

func same(a, b *call.Rate) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// expire drops the statements that are too old. If none is, it drops the oldest.
func (t *Tracker) expire(now clock.Instant) {
	var oldest settings.UpstreamID
	for id, l := range t.limits {
		if now.Sub(l.at) >= statementTime {
			delete(t.limits, id)
			continue
		}
		if oldest == "" || l.at < t.limits[oldest].at {
			oldest = id
		}
	}
	if len(t.limits) >= maxUpstreams {
		delete(t.limits, oldest)
	}
}

// Forget removes the limit of an upstream that has ended or restarted.
func (t *Tracker) Forget(id settings.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.limits, id)
}
