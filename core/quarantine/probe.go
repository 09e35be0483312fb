package quarantine

import (
	"math/rand/v2"
	"slices"
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
)

// Times and bounds of probes. The fleet sends a probe at a time, so that few reach upstreams if they are not sound.
const (
	// settleTime is how long after a suspicion has begun to narrow the crashes of requests that were on their way may come.
	settleTime = 2 * time.Second
	// probeInterval is the mean time between two probes of all routers together.
	probeInterval = time.Second
	// probeTime is how long a probe may wait for room at an upstream.
	probeTime = 2 * time.Second
	// maxLate is the number of crashes after settleTime from which on no probe is sent.
	maxLate = 1
)

// probe is a request that is let pass although it has suspected blocks. If nobody has seen a request with these blocks survive, no other one
// would, since all are kept away.
type probe struct {
	digest call.RequestDigest
	blocks []call.PromptBlockID
	until  clock.Instant
}

func (p *probe) is(now clock.Instant, req Request) bool {
	return now < p.until && p.digest == req.Digest && slices.EqualFunc(p.blocks, req.Blocks,
		func(id call.PromptBlockID, b call.PromptBlock) bool { return id == b.ID })
}

// mayProbe reports whether a request with some of the suspected blocks of a finding passes as a probe. late is the number of late crashes that
// the findings which it matches explain. t.mu is held.
func (t *Tracker) mayProbe(now clock.Instant, req Request, f *Finding, late int) bool {
	if late >= maxLate {
		return false
	}
	if t.probe.is(now, req) {
		return true
	}
	if now < t.nextProbe {
		return false
	}
	t.probe = probe{digest: req.Digest, blocks: blockIDs(req.Blocks), until: now.Add(probeTime)}
	t.nextProbe = now.Add(time.Duration((0.5 + rand.Float64()) * float64(t.probeTurn())))
	if t.OnProbe != nil {
		t.OnProbe(*f, req)
	}
	return true
}

// probeTurn returns the mean time between two probes of this router. t.mu is held.
func (t *Tracker) probeTurn() time.Duration {
	n := 1
	if t.Routers != nil {
		n = max(1, t.Routers())
	}
	return time.Duration(n) * probeInterval
}

// scheduleProbes lets the routers begin with their probes at different times once a suspicion has narrowed. t.mu is held.
func (t *Tracker) scheduleProbes(now clock.Instant, before []Finding) {
	for i := range t.findings {
		f := &t.findings[i]
		narrowed := func(other Finding) bool {
			return other.Digest == f.Digest && other.Block == f.Block && other.narrowedAt != 0
		}
		if f.narrowedAt == 0 || slices.ContainsFunc(before, narrowed) {
			continue
		}
		first := max(now, f.narrowedAt.Add(settleTime)).Add(time.Duration(rand.Float64() * float64(t.probeTurn())))
		t.nextProbe = max(t.nextProbe, first)
	}
}
