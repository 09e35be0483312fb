package cold

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Times of the decision.
const (
	// window is the time over which sent requests count: the second of the bound and a margin for the way to the upstream.
	window = 1100 * time.Millisecond
	// settleTime is how long a router that has started, or has met the first other one, sends nothing to cold upstreams. By then the
	// others know of it, and what it has sent before a restart counts no more.
	settleTime = 2 * time.Second
	// rememberTime is how long a router counts after it was last known. A cut that lasts longer than this could break the bound.
	rememberTime = 10 * time.Minute
	// refreshInterval is how often the list of routers is read.
	refreshInterval = 250 * time.Millisecond
	// announceTime is how long an upstream must not have been cold until it is announced again.
	announceTime = 5 * time.Second
)

// maxUpstreams bounds the upstreams whose requests are remembered. Above it, requests that count no more are dropped.
const maxUpstreams = 8192

// Routers returns the addresses of the other routers that may send requests, and whether this one may be unknown to them, because its
// settings name others and it has met none yet.
type Routers func() (others []string, alone bool)

// upstream is what is remembered of one upstream.
type upstream struct {
	// sent holds when this router's latest requests were sent, the latest last.
	sent []clock.Instant
	// part is this router's part of bound, valid for the list of routers with the given generation.
	part, bound, generation int
	// limitedAt is when a request was last held to the part.
	limitedAt clock.Instant
}

// Tracker holds this router to its part of what cold upstreams may get. The zero value with Limits, Self and Routers is ready to use.
type Tracker struct {
	Limits Limits
	// Self is the address of this router.
	Self    string
	Routers Routers
	// OnCold is called when requests to an upstream begin to be held to a part of its bound.
	OnCold func(id settings.UpstreamID, bound, part, routers int)

	mu        sync.Mutex
	upstreams map[settings.UpstreamID]*upstream
	// known holds when each other router was last known, list their addresses and Self.
	known map[string]clock.Instant
	list  []string
	// generation counts the changes of list.
	generation  int
	refreshedAt clock.Instant
	// settledAt is when this router may begin to send to cold upstreams, 0 while it may be unknown to the others.
	settledAt clock.Instant
	// refusedAt is when there was no room last.
	refusedAt clock.Instant
}

// Room reports whether this router may send a request to a cold upstream now. perSecond is the rate that its service names.
func (t *Tracker) Room(now clock.Instant, id settings.UpstreamID, perSecond float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	u := t.upstream(now, id)
	bound := t.Limits.bound(perSecond)
	if u.generation != t.generation || u.bound != bound {
		u.part, u.bound, u.generation = part(bound, t.Self, t.list, id), bound, t.generation
	}
	if u.limitedAt == 0 || now.Sub(u.limitedAt) > announceTime {
		if t.OnCold != nil {
			t.OnCold(id, bound, u.part, len(t.list))
		}
	}
	u.limitedAt = now
	u.trim(now)
	if t.settledAt != 0 && now >= t.settledAt && len(u.sent) < u.part {
		return true
	}
	t.refusedAt = now
	return false
}

// refresh reads the list of routers.
func (t *Tracker) refresh(now clock.Instant) {
	if t.generation != 0 && now.Sub(t.refreshedAt) < refreshInterval {
		return
	}
	t.refreshedAt = now
	others, alone := t.Routers()
	if alone {
		t.settledAt = 0
	} else if t.settledAt == 0 {
		t.settledAt = now.Add(settleTime)
	}
	if t.known == nil {
		t.known = make(map[string]clock.Instant)
	}
	for _, r := range others {
		if r != t.Self {
			t.known[r] = now
		}
	}
	maps.DeleteFunc(t.known, func(_ string, at clock.Instant) bool { return now.Sub(at) > rememberTime })
	list := append(slices.Collect(maps.Keys(t.known)), t.Self)
	slices.Sort(list)
	if t.generation == 0 || !slices.Equal(list, t.list) {
		t.list = list
		t.generation++
	}
}

func (t *Tracker) upstream(now clock.Instant, id settings.UpstreamID) *upstream {
	if t.upstreams == nil {
		t.upstreams = make(map[settings.UpstreamID]*upstream)
	}
	u := t.upstreams[id]
	if u == nil {
		if len(t.upstreams) >= maxUpstreams {
			maps.DeleteFunc(t.upstreams, func(_ settings.UpstreamID, u *upstream) bool {
				u.trim(now)
				return len(u.sent) == 0
			})
		}
		u = &upstream{}
		t.upstreams[id] = u
	}
	return u
}

// trim drops the requests that count no more.
func (u *upstream) trim(now clock.Instant) {
	first := 0
	for first < len(u.sent) && now.Sub(u.sent[first]) >= window {
		first++
	}
	u.sent = slices.Delete(u.sent, 0, first)
}

// Begin counts a request that is about to be sent to an upstream, cold or not: an upstream may have turned cold unnoticed.
func (t *Tracker) Begin(now clock.Instant, id settings.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	u := t.upstream(now, id)
	u.trim(now)
	u.sent = append(u.sent, now)
}

// Sent counts a request as sent now that began at the given instant, since a new connection may have taken some time.
func (t *Tracker) Sent(now clock.Instant, id settings.UpstreamID, begun clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstream(now, id)
	if i := slices.Index(u.sent, begun); i >= 0 {
		u.sent = slices.Delete(u.sent, i, i+1)
	}
	u.sent = append(u.sent, now)
}

// Forget removes an upstream that has ended.
func (t *Tracker) Forget(id settings.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.upstreams, id)
}

// Limiting reports whether a request has found no room a short time ago, so that waiting ones may find some soon.
func (t *Tracker) Limiting(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusedAt != 0 && now.Sub(t.refusedAt) < window
}

// Status is the state of one upstream in a dump.
type Status struct {
	Upstream settings.UpstreamID `json:"upstream"`
	// Bound is the number of requests that all routers together may send in a second, Part that of this router.
	Bound int `json:"bound"`
	Part  int `json:"part"`
	// Sent is the number of requests that count now.
	Sent    int `json:"sent"`
	Routers int `json:"routers"`
}

// Statuses returns the upstreams whose requests are held to a part, sorted by id.
func (t *Tracker) Statuses(now clock.Instant) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := []Status{}
	for id, u := range t.upstreams {
		if u.limitedAt == 0 || now.Sub(u.limitedAt) > announceTime {
			continue
		}
		u.trim(now)
		list = append(list, Status{Upstream: id, Bound: u.bound, Part: u.part, Sent: len(u.sent), Routers: len(t.list)})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}
