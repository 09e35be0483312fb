package inflight

import (
	"math"
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

// sumLifetime is how long the sums of a relay stay valid. It spans several exchanges with the relay.
const sumLifetime = 600 * time.Millisecond

// report holds the latest counts of another router, or the latest sums of a relay.
type report struct {
	at         clock.Instant
	dataCentre settings.DataCentre
	counts     Counts
}

// Tracker holds the counts of this router and those received from other routers; the zero value is empty and ready to use. The
// counts of other routers come from the relay of the data centre if there is one, since these are the newest. Otherwise they are
// added up: for each data centre the sums of its relay or, without them, the counts of its routers.
type Tracker struct {
	mu      sync.Mutex
	local   Counts
	reports map[RouterID]report
	// sums holds the sums over other data centres, totals those over all routers but this one.
	sums        map[settings.DataCentre]report
	totals      report
	remoteTotal Counts
	// remoteAt is the mean time at which the counts in remoteTotal were received.
	remoteAt clock.Instant
	expires  clock.Instant
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

// Add adds to this router's count for an upstream, which never falls below zero.
func (t *Tracker) Add(id settings.UpstreamID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.local == nil {
		t.local = make(Counts)
	}
	if t.local[id] += n; t.local[id] <= 0 {
		delete(t.local, id)
	}
}

// SetLocal replaces this router's counts.
func (t *Tracker) SetLocal(counts Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.local = counts
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
func (t *Tracker) Report(now clock.Instant, from RouterID, name settings.DataCentre, counts Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports == nil {
		t.reports = make(map[RouterID]report)
	}
	t.reports[from] = report{at: now, dataCentre: name, counts: counts}
	t.remoteTotal = nil
}

// ReportSum replaces the sums over the routers of another data centre.
func (t *Tracker) ReportSum(now clock.Instant, name settings.DataCentre, counts Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sums == nil {
		t.sums = make(map[settings.DataCentre]report)
	}
	t.sums[name] = report{at: now, dataCentre: name, counts: counts}
	t.remoteTotal = nil
}

// ReportTotals replaces the sums over all routers but this one.
func (t *Tracker) ReportTotals(now clock.Instant, counts Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals = report{at: now, counts: counts}
	t.remoteTotal = nil
}

// SumOf returns the sums over this router and those of its data centre, for a relay of another one.
func (t *Tracker) SumOf(now clock.Instant, name settings.DataCentre) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := make(Counts)
	sum.add(t.local)
	for _, r := range t.reports {
		if r.dataCentre == name && now.Before(r.at.Add(reportLifetime)) {
			sum.add(r.counts)
		}
	}
	return sum
}

// TotalsFor returns the sums over all routers but one, for that router.
func (t *Tracker) TotalsFor(now clock.Instant, to RouterID, name settings.DataCentre) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum, _, _ := t.addUp(now, to, name)
	sum.add(t.local)
	return sum
}

// addUp adds up the counts of the other routers without those of one. own is the data centre whose sums are not used, since
// they would include that router. It also returns the mean time at which the used counts were received, and when the first of them
// expires.
func (t *Tracker) addUp(
	now clock.Instant, without RouterID, own settings.DataCentre,
) (sum Counts, received, expires clock.Instant) {
	sum, expires = make(Counts), now.Add(reportLifetime)
	var age time.Duration
	used := 0
	use := func(r *report) {
		sum.add(r.counts)
		age += now.Sub(r.at)
		used++
	}
	fresh := make(map[settings.DataCentre]bool, len(t.sums))
	for name, r := range t.sums {
		end := r.at.Add(sumLifetime)
		if name == own || !now.Before(end) {
			continue
		}
		fresh[name] = true
		expires = min(expires, end)
		use(&r)
	}
	for from, r := range t.reports {
		end := r.at.Add(reportLifetime)
		if !now.Before(end) {
			delete(t.reports, from)
			continue
		}
		if from == without || (r.dataCentre != "" && fresh[r.dataCentre]) {
			continue
		}
		expires = min(expires, end)
		use(&r)
	}
	return sum, now.Add(-age / time.Duration(max(1, used))), expires
}

func (c Counts) add(other Counts) {
	for id, n := range other {
		c[id] += n
	}
}

// refresh recomputes the sum of the other routers' counts and drops those that are too old.
func (t *Tracker) refresh(now clock.Instant) {
	if t.remoteTotal != nil && now.Before(t.expires) {
		return
	}
	t.remoteTotal, t.remoteAt, t.expires = t.addUp(now, "", "")
	if end := t.totals.at.Add(sumLifetime); t.totals.at != 0 && now.Before(end) {
		t.remoteTotal, t.remoteAt, t.expires = t.totals.counts, t.totals.at, end
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

// Expected returns the number of requests that all routers are expected to have open at each upstream, in the given order. residence is
// how long a request stays open. A count says little of an upstream whose requests have since been replaced by others, so the counts
// of the other routers approach their mean with age. Routers that took such counts for current ones would all choose the upstream
// that was the least loaded some time ago.
func (t *Tracker) Expected(now clock.Instant, ids []settings.UpstreamID, residence time.Duration) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	loads := make([]int, len(ids))
	sum := 0
	for _, id := range ids {
		sum += t.remoteTotal[id]
	}
	mean := float64(sum) / float64(max(1, len(ids)))
	kept := math.Exp(-now.Sub(t.remoteAt).Seconds() / max(residence, time.Millisecond).Seconds())
	for i, id := range ids {
		others := mean + (float64(t.remoteTotal[id])-mean)*kept
		loads[i] = t.local[id] + int(math.Round(others))
	}
	return loads
}

// Age returns how long ago the counts of the other routers were received on average.
func (t *Tracker) Age(now clock.Instant) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	if len(t.remoteTotal) == 0 {
		return 0
	}
	return now.Sub(t.remoteAt)
}

// Others returns the number of requests that the other routers have open at each upstream, in the given order.
func (t *Tracker) Others(now clock.Instant, ids []settings.UpstreamID) []int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	others := make([]int, len(ids))
	for i, id := range ids {
		others[i] = t.remoteTotal[id]
	}
	return others
}

// RouterCount returns the number of routers with valid counts, including this one.
func (t *Tracker) RouterCount(now clock.Instant) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	return len(t.reports) + 1
}
