package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
)

// Change numbers the changes of the evidence that a router has seen itself, in ascending order.
type Change uint64

// Tracker collects evidence and quarantines the requests and prompt blocks that it speaks against; its zero value is ready to use. One router
// sees only few of the crashes, so the routers exchange what they have seen. Everything it remembers is bounded and expires.
type Tracker struct {
	// OnChange is called for each finding that is new or no longer holds.
	OnChange func(f Finding, quarantined bool)
	// OnProbe is called for each request that is let pass to clear some of the suspected blocks of a finding.
	OnProbe func(f Finding, req Request)
	// Routers returns the number of routers of the fleet with this one; nil stands for one.
	Routers func() int

	mu      sync.Mutex
	crashes map[process]*record
	// own counts the survivals that this router has seen, by trait; others those of the other routers.
	own    *simplelru.LRU[trait, *seen]
	others map[trait]map[inflight.RouterID]uint16
	// suspected counts the suspects with a trait. open holds the traits whose survivals the decision depends on.
	suspected map[trait]int
	open      []trait
	// probe is the latest request that was let pass to clear some of its blocks, nextProbe when the next one may follow.
	probe     probe
	nextProbe clock.Instant
	// blocks is the number of blocks of all suspects, and of those that others have replaced since the last decision.
	blocks    int
	findings  []Finding
	undecided bool
	// expiry is when the next crash expires.
	expiry clock.Instant
	change Change
	wake   chan struct{}
}

// Wake returns a channel that receives a value after this router has seen a crash.
func (t *Tracker) Wake() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wakeChannel()
}

func (t *Tracker) wakeChannel() chan struct{} {
	if t.wake == nil {
		t.wake = make(chan struct{}, 1)
	}
	return t.wake
}

// Quarantined returns the finding that keeps a request away from the upstreams, and for how long it still does.
func (t *Tracker) Quarantined(now clock.Instant, req Request) (f Finding, left time.Duration, quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	if len(t.findings) == 0 {
		return Finding{}, 0, false
	}
	blocks := req.blockSet()
	strongest := matchesNone
	late := 0
	for i := range t.findings {
		m := t.findings[i].match(req, blocks)
		if m == matchesNone {
			continue
		}
		strongest, late = max(strongest, m), max(late, t.findings[i].late)
		if until := t.findings[i].Until.Sub(now); !quarantined || until > left {
			f, left, quarantined = t.findings[i], until, true
		}
	}
	if strongest == matchesSome && t.mayProbe(now, req, &f, late) {
		return Finding{}, 0, false
	}
	return f, left, quarantined
}

// Findings returns the quarantined blocks.
func (t *Tracker) Findings(now clock.Instant) []Finding {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	return slices.Clone(t.findings)
}

// decide brings the findings up to date. t.mu is held.
func (t *Tracker) decide(now clock.Instant) {
	if !t.undecided && (t.expiry == 0 || now < t.expiry) {
		return
	}
	t.undecided = false
	list := make([]*crash, 0, len(t.crashes))
	for p, r := range t.crashes {
		if now.Sub(r.at) >= evidenceTime {
			delete(t.crashes, p)
			continue
		}
		list = append(list, &r.crash)
	}
	slices.SortFunc(list, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
	findings, open := t.findings, t.open
	t.findings, t.open = decide(list, func(tr trait) bool { return t.suspected[tr] >= minSuspects }, t.survivals)
	t.expire(now)
	t.reportSurvivals(open)
	t.scheduleProbes(now, findings)
	t.notify(findings)
}

// notify calls OnChange for the findings that are new and for those of before that no longer hold. t.mu is held.
func (t *Tracker) notify(before []Finding) {
	if t.OnChange == nil {
		return
	}
	for i := range t.findings {
		if !contains(before, t.findings[i]) {
			t.OnChange(t.findings[i], true)
		}
	}
	for i := range before {
		if !contains(t.findings, before[i]) {
			t.OnChange(before[i], false)
		}
	}
}

// contains reports whether a list has a finding for the same requests.
func contains(list []Finding, f Finding) bool {
	return slices.ContainsFunc(list, func(other Finding) bool {
		return other.Digest == f.Digest && slices.Equal(other.Blocks, f.Blocks)
	})
}
