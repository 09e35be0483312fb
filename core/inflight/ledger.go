package inflight

import (
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// reportTime is how long another router's counts are believed: several exchanges, and less than a request lasts.
const reportTime = 1500 * time.Millisecond

// RouterID names another router.
type RouterID string

// Counts is the number of open requests by upstream.
type Counts map[settings.UpstreamID]int

// report is what another router said last.
type report struct {
	at     clock.Instant
	counts Counts
}

// Tracker holds this router's counts and those that other routers told; its zero value is empty.
type Tracker struct {
	mu      sync.Mutex
	own     Counts
	others  map[RouterID]report
	total   Counts
	expires clock.Instant
}

// Begin counts a request that is about to be sent.
func (l *Tracker) Begin(id settings.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own == nil {
		l.own = make(Counts)
	}
	l.own[id]++
}

// End takes a request off that has ended.
func (l *Tracker) End(id settings.UpstreamID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.own[id] <= 1 {
		delete(l.own, id)
		return
	}
	l.own[id]--
}

// Local returns a copy of this router's counts.
func (l *Tracker) Local() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(Counts, len(l.own))
	for id, n := range l.own {
		counts[id] = n
	}
	return counts
}

// Report takes in another router's counts.
func (l *Tracker) Report(now clock.Instant, from RouterID, counts Counts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.others == nil {
		l.others = make(map[RouterID]report)
	}
	l.others[from] = report{at: now, counts: counts}
	l.total = nil
}

// refresh sums up the other routers' counts, without those that are too old.
func (l *Tracker) refresh(now clock.Instant) {
	if l.total != nil && now.Before(l.expires) {
		return
	}
	l.total = make(Counts)
	l.expires = now.Add(reportTime)
	for from, r := range l.others {
		end := r.at.Add(reportTime)
		if !now.Before(end) {
			delete(l.others, from)
			continue
		}
		l.expires = min(l.expires, end)
		for id, n := range r.counts {
			l.total[id] += n
		}
	}
}

// Loads returns the open requests of each upstream in the order given, over all routers.
func (l *Tracker) Loads(now clock.Instant, ids []settings.UpstreamID) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	loads := make([]int, len(ids))
	for i, id := range ids {
		loads[i] = l.own[id] + l.total[id]
	}
	return loads
}

// RouterCount returns the number of routers whose counts are believed, this one included.
func (l *Tracker) RouterCount(now clock.Instant) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return len(l.others) + 1
}
