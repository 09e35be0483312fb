package inflight

import (
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// reportLifetime is how long another router's counts stay valid. It spans several exchanges and is shorter than most requests.
const reportLifetime = 1500 * time.Millisecond

// RouterID identifies a router.
type RouterID string

// Counts holds the number of open requests by upstream.
type Counts map[settings.UpstreamID]int

// report holds the latest counts of another router.
type report struct {
	at     clock.Instant
	counts Counts
}

// Tracker holds the counts of this router and those received from other routers; the zero value is empty and ready to use.
type Tracker struct {
	mu          sync.Mutex
	local       Counts
	reports     map[RouterID]report
	remoteTotal Counts
	expires     clock.Instant
}

// Begin counts a request that is about to be sent.
func (t *Tracker) Begin(id settings.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.local == nil {
		t.local = make(Counts)
	}
	t.local[id]++
}

// End removes a request that has ended from the counts.
func (t *Tracker) End(id settings.UpstreamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.local[id] <= 1 {
		delete(t.local, id)
		return
	}
	t.local[id]--
}

// Local returns a copy of this router's counts.
func (t *Tracker) Local() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(Counts, len(t.local))
	for id, n := range t.local {
		counts[id] = n
	}
	return counts
}

// Report replaces the counts of another router.
func (t *Tracker) Report(now clock.Instant, from RouterID, counts Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = make(map[RouterID]report)
	}
	t.reports[from] = report{at: now, counts: counts}
	t.remoteTotal = nil
}

// refresh recomputes the sum of the other routers' counts and drops those that are too old.
func (t *Tracker) refresh(now clock.Instant) {
	if t.remoteTotal != nil && now.Before(t.expires) {
		return
	}
	t.remoteTotal = make(Counts)
	t.expires = now.Add(reportLifetime)
	for from, r := range t.reports {
		end := r.at.Add(reportLifetime)
		if !now.Before(end) {
			delete(t.reports, from)
			continue
		}
		t.expires = min(t.expires, end)
		for id, n := range r.counts {
			t.remoteTotal[id] += n
		}
	}
}

// Loads returns the number of requests that all routers have open at each upstream, in the given order.
func (t *Tracker) Loads(now clock.Instant, ids []settings.UpstreamID) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	loads := make([]int, len(ids))
	for i, id := range ids {
		loads[i] = t.local[id] + t.remoteTotal[id]
	}
	return loads
}

// RouterCount returns the number of routers with valid counts, including this one.
func (t *Tracker) RouterCount(now clock.Instant) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	return len(t.reports) + 1
}
