package ratelimit

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// Bounds of what a Tracker remembers.
const (
	// statementTime is how long a limit holds that its upstream has not stated again. An upstream with the lowest rate that is
	// sent to states it several times in this time.
	statementTime = 5 * time.Minute
	// endedTime is how long the end of a limit is remembered, for routers that still hold the limit.
	endedTime = 10 * time.Second
	// maxUpstreams bounds the upstreams whose statements are remembered.
	maxUpstreams = 8192
)

// Statement is what one process of an upstream has last stated of its limit.
type Statement struct {
	Upstream    settings.UpstreamID
	Incarnation members.Incarnation
	// Limited reports that a limit is in force. Rate is the limit.
	Limited bool
	Rate    call.Rate
	// Age is the time since the statement.
	Age time.Duration
}

// limit is what one process of an upstream has last stated.
type limit struct {
	incarnation members.Incarnation
	// rate is the limit, nil if the upstream has ended it.
	rate *call.Rate
	// at is when the statement was made.
	at clock.Instant
	// credit is the part of a request that may be sent, see Admit. It begins at random, so that the routers of a large fleet do not all
	// send their first request.
	credit float64
	// peak is the latest peak of the demand, as of peakAt.
	peak   float64
	peakAt clock.Instant
}

// recordPeak returns the latest peak of the demand, which fades with time.
func (l *limit) recordPeak(now clock.Instant, wanted int) float64 {
	l.peak = max(float64(wanted), l.peak*math.Exp(-now.Sub(l.peakAt).Seconds()/peakDecay.Seconds()))
	l.peakAt = now
	return l.peak
}

// requests holds when this router's requests for one upstream were meant for it and when they were sent, the latest last.
type requests struct {
	wanted, sent []clock.Instant
}

// trim drops the instants that lie before the window.
func trim(list []clock.Instant, now clock.Instant, window time.Duration) []clock.Instant {
	first := 0
	for first < len(list) && now.Sub(list[first]) >= window {
		first++
	}
	return slices.Delete(list, 0, first)
}

func (r *requests) trim(now clock.Instant) {
	r.wanted, r.sent = trim(r.wanted, now, wantedWindow), trim(r.sent, now, sentWindow)
}

// Tracker keeps the requests of all routers to an upstream within the rate that the upstream has named; its zero value is ready to use.
// The routers tell each other the limits and how many requests they have sent, so each knows the sum, a little late.
type Tracker struct {
	mu     sync.Mutex
	limits map[settings.UpstreamID]*limit
	// requests holds this router's requests for all upstreams, so that the demand is known as soon as a limit is.
	requests map[settings.UpstreamID]*requests
	// wanted and sent hold the requests of the other routers for the upstreams with limits.
	wanted, sent inflight.Tracker
	// digest identifies the limits in force, 0 if it must be computed.
	digest uint64
}

// Record records what an upstream has stated in an answer, nil for no limit, and reports whether that is new.
func (t *Tracker) Record(now clock.Instant, inst members.Instance, rate *call.Rate) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits[inst.ID] == nil && rate == nil {
		return false
	}
	l := t.process(now, inst.ID, inst.Incarnation)
	changed := !same(l.rate, rate)
	l.rate, l.at = rate, now
	if changed {
		t.digest = 0
	}
	return changed
}

// process returns the entry of a process, a new one if the upstream has none or that of another process. t.mu is held.
func (t *Tracker) process(now clock.Instant, id settings.UpstreamID, incarnation members.Incarnation) *limit {
	if l := t.limits[id]; l != nil && l.incarnation == incarnation {
		return l
	}
	if t.limits == nil {
		t.limits = make(map[settings.UpstreamID]*limit)
	}
	if len(t.limits) >= maxUpstreams {
		t.expire(now)
	}
	l := &limit{incarnation: incarnation, credit: rand.Float64()}
	t.limits[id] = l
	t.digest = 0
	return l
}

func same(a, b *call.Rate) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// expire drops the statements that are too old. If the bound is still reached, it drops the oldest. t.mu is held.
func (t *Tracker) expire(now clock.Instant) {
	var oldest settings.UpstreamID
	for id, l := range t.limits {
		age := now.Sub(l.at)
		if age >= statementTime || (l.rate == nil && age >= endedTime) {
			delete(t.limits, id)
			t.digest = 0
			continue
		}
		if oldest == "" || l.at < t.limits[oldest].at {
			oldest = id
		}
	}
	if len(t.limits) >= maxUpstreams {
		delete(t.limits, oldest)
		t.digest = 0
	}
}

// Forget removes the limit of an upstream that has ended or restarted.
func (t *Tracker) Forget(id settings.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.limits, id)
	delete(t.requests, id)
	t.digest = 0
}

// Active reports whether a limit is in force.
func (t *Tracker) Active(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	for _, l := range t.limits {
		if l.rate != nil {
			return true
		}
	}
	return false
}

// Admit reports whether a request that is meant for an upstream may be sent to it now, and counts it. known is the number of routers
// that may send requests, with this one. Of the requests for a limited upstream, every one is admitted that completes a credit of
// one, to which each adds the share that may be sent.
func (t *Tracker) Admit(now clock.Instant, id settings.UpstreamID, known int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requestsFor(id)
	r.wanted = append(r.wanted, now)
	r.trim(now)
	l := t.limits[id]
	if l == nil || l.rate == nil {
		r.sent = append(r.sent, now)
		return true
	}
	d := t.demand(now, id, l, r, known)
	l.credit = min(1, l.credit+share(*l.rate, d))
	if l.credit < 1 || exhausted(*l.rate, d) {
		return false
	}
	l.credit--
	r.sent = append(r.sent, now)
	return true
}

func (t *Tracker) requestsFor(id settings.UpstreamID) *requests {
	if t.requests == nil {
		t.requests = make(map[settings.UpstreamID]*requests)
	}
	r := t.requests[id]
	if r == nil {
		r = &requests{}
		t.requests[id] = r
	}
	return r
}

// demand returns what is known of the requests of all routers for an upstream. t.mu is held.
func (t *Tracker) demand(now clock.Instant, id settings.UpstreamID, l *limit, r *requests, known int) demand {
	wanted := t.wanted.Others(now, []settings.UpstreamID{id, routerKey})
	sent := t.sent.Others(now, []settings.UpstreamID{id})
	n := len(r.wanted) + wanted[0]
	return demand{wanted: n, peak: l.recordPeak(now, n), sent: len(r.sent) + sent[0], heard: 1 + wanted[1], known: known}
}

// Limited reports, for each upstream in the given order, whether a limit is in force for it, and the rate of the requests that are meant for
// it as a multiple of the limit. known is as for Admit.
func (t *Tracker) Limited(now clock.Instant, ids []settings.UpstreamID, known int) (limited []bool, wanted []float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	limited, wanted = make([]bool, len(ids)), make([]float64, len(ids))
	if len(t.limits) == 0 {
		return limited, wanted
	}
	for i, id := range ids {
		l := t.limits[id]
		if l == nil || l.rate == nil {
			continue
		}
		r := t.requestsFor(id)
		r.trim(now)
		limited[i] = true
		wanted[i] = load(*l.rate, t.demand(now, id, l, r, known))
	}
	return limited, wanted
}

// routerKey counts the routers in the counts of requests.
const routerKey settings.UpstreamID = ""

// Usage holds the requests for the upstreams with limits, by upstream. Each router is counted under the empty id.
type Usage struct {
	Wanted, Sent *inflight.Tracker
}

// Usage returns the usage by this router and the others, ready to be exchanged.
func (t *Tracker) Usage(now clock.Instant) Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted, sent := inflight.Counts{routerKey: 1}, inflight.Counts{routerKey: 1}
	for id, l := range t.limits {
		r := t.requests[id]
		if l.rate == nil || r == nil {
			continue
		}
		r.trim(now)
		if n := len(r.wanted); n > 0 {
			wanted[id] = n
		}
		if n := len(r.sent); n > 0 {
			sent[id] = n
		}
	}
	t.wanted.SetLocal(wanted)
	t.sent.SetLocal(sent)
	return Usage{Wanted: &t.wanted, Sent: &t.sent}
}

// Digest identifies the limits in force.
func (t *Tracker) Digest(now clock.Instant) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if t.digest != 0 {
		return t.digest
	}
	sum := uint64(1)
	for id, l := range t.limits {
		if l.rate == nil {
			continue
		}
		h := xxhash.New()
		_, _ = h.WriteString(string(id))
		var b [16]byte
		binary.BigEndian.PutUint64(b[:8], uint64(l.incarnation))
		binary.BigEndian.PutUint64(b[8:], math.Float64bits(float64(*l.rate)))
		_, _ = h.Write(b[:])
		sum += h.Sum64()
	}
	t.digest = max(sum, 1)
	return t.digest
}

// Statements returns the latest statement of each upstream, for other routers.
func (t *Tracker) Statements(now clock.Instant) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var list []Statement
	for id, l := range t.limits {
		s := Statement{Upstream: id, Incarnation: l.incarnation, Age: now.Sub(l.at)}
		if l.rate != nil {
			s.Limited, s.Rate = true, *l.rate
		}
		list = append(list, s)
	}
	return list
}

// Merge applies the statements that another router knows, where they are newer, and returns those that change a limit.
func (t *Tracker) Merge(now clock.Instant, list []Statement) []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Statement
	for _, s := range list {
		at := now.Add(-max(0, s.Age))
		l := t.limits[s.Upstream]
		if l == nil && !s.Limited || l != nil && (s.Incarnation < l.incarnation || s.Incarnation == l.incarnation && at <= l.at) {
			continue
		}
		var rate *call.Rate
		if s.Limited {
			rate = &s.Rate
		}
		l = t.process(now, s.Upstream, s.Incarnation)
		if !same(l.rate, rate) {
			t.digest = 0
			changed = append(changed, s)
		}
		l.rate, l.at = rate, at
	}
	return changed
}
