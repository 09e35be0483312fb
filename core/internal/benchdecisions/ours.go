package main

import (
	"rattantrack.dev/core/admission"
	"rattantrack.dev/core/candidates"
	"rattantrack.dev/core/meanload"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// wireBytes is what one message costs besides its frame: TCP and IP headers.
const wireBytes = 40

// Times of the stale_mean scenario, in rounds: of every staleCycle rounds the first staleRounds are lost.
const (
	staleRounds = 16
	staleCycle  = 40
)

// ours drives the system's own decisions.
type ours struct {
	*baseline
	sides  []*admission.Controller
	exact  *rendezvous.Set
	views  [routers]*rendezvous.Set
	rounds int
	sent   float64
}

func newOurs(s *sim, b *baseline) *ours {
	o := &ours{baseline: b, exact: b.set}
	for _, e := range s.engines {
		o.sides = append(o.sides, o.controller(e))
	}
	return o
}

func (o *ours) controller(e *engine) *admission.Controller {
	c := &admission.Controller{Self: e.id, Policy: admission.Policy{Multiple: o.sim.multiple, PrefillWeight: prefillWeight, CanImport: true}}
	c.Prefixes.Limit = cacheTokens
	return c
}

// view returns what one router believes; in view_disagreement each router misses some engines.
func (o *ours) view(router int) *rendezvous.Set {
	if o.sim.is("view_disagreement") && o.views[router] != nil {
		return o.views[router]
	}
	return o.set
}

// place walks over the sides as a router does.
func (o *ours) place(r *request) placement {
	router := o.sim.rng.IntN(routers)
	set := o.view(router)
	walk := candidates.New(set, r.chat.id, "")
	home := walk.Primary()
	var p placement
	var holder settings.UpstreamID
	if r.engine != nil {
		holder = r.engine.id
	}
	for {
		step, ok := walk.Next()
		if !ok {
			return p
		}
		p.asks++
		e := o.sim.engines[o.sim.index[step.Side]]
		if e.down || e.silent {
			if e.silent {
				p.delay += silenceLimit
			}
			o.mark(e)
			continue
		}
		v := o.ask(r, e, step, holder, false)
		if v.CacheOwner != "" {
			holder = v.CacheOwner
		}
		if !v.Admitted {
			walk.Prepend(v.Next[:])
			walk.RecordOverloaded(step.Side, o.sides[e.index].Load())
			continue
		}
		p.ok = true
		p.engine = e.index
		o.admitted(r, e, home, v, &p)
		return p
	}
}

func (o *ours) ask(r *request, e *engine, step candidates.Step, holder settings.UpstreamID, moved bool) admission.Decision {
	home, _ := o.exact.Home(r.chat.id)
	return o.sides[e.index].Decide(o.sim.instant(), admission.Request{
		Chat:          r.chat.id,
		PromptTokens:  settings.Tokens(r.prompt),
		DecodeTokens:  settings.Tokens(r.expected),
		IsPrimary:     home == e.id,
		Redirected:    step.Redirected,
		Moved:         moved,
		LastCandidate: step.LastCandidate,
		CacheOwner:    holder,
	})
}

func (o *ours) admitted(r *request, e *engine, home settings.UpstreamID, v admission.Decision, p *placement) {
	side := o.sides[e.index]
	if v.ImportFrom != "" {
		if from := o.sim.engines[o.sim.index[v.ImportFrom]]; !from.down && !from.silent && from != e {
			p.importFrom = from
		}
	}
	o.sim.at(o.sim.now, func() { o.shed(e) })
	if v.ImportFrom != "" {
		missing := r.prompt
		if p.importFrom != nil {
			missing = max(0, r.prompt-p.importFrom.peek(r.chat.id))
		}
		side.RecordMissingImport(&v, settings.Tokens(missing))
	}
	r.verdict = v
	r.release = func() {
		if o.sides[e.index] == side {
			side.Release(&r.verdict)
		}
	}
	o.sides[o.sim.index[home]].CacheOwners.RecordServed(r.chat.id, e.id)
}

func (o *ours) warm(c *chat, e *engine) {
	o.sides[e.index].Prefixes.RecordStored(c.id, settings.Tokens(c.context))
	o.sides[e.index].CacheOwners.RecordServed(c.id, e.id)
}

func (o *ours) firstToken(r *request) {
	side := o.sides[r.engine.index]
	side.FirstToken(&r.verdict)
	side.Prefixes.RecordStored(r.chat.id, settings.Tokens(r.prompt))
}

func (o *ours) served(r *request, e *engine) {
	o.sides[e.index].Prefixes.RecordStored(r.chat.id, settings.Tokens(r.prompt+r.decode))
}

func (o *ours) back(e *engine) {
	o.sides[e.index] = o.controller(e)
	o.baseline.back(e)
}

// round lets every side exchange with another one and move work away.
func (o *ours) round() {
	o.rounds++
	if o.rounds%20 == 0 {
		o.disagree()
	}
	stale := o.sim.is("stale_mean") && o.rounds%staleCycle < staleRounds
	for i, e := range o.sim.engines {
		if e.down || e.silent {
			continue
		}
		j := o.sim.rng.IntN(len(o.sim.engines))
		if other := o.sim.engines[j]; i != j && !other.down && !other.silent && !stale {
			o.exchange(i, j)
		}
		o.shed(e)
	}
}

func (o *ours) exchange(i, j int) {
	now := o.sim.instant()
	a, b := o.sides[i], o.sides[j]
	fromA := a.Estimator.Sample(now, a.Self, a.Load())
	fromB := b.Estimator.Sample(now, b.Self, b.Load())
	a.Estimator.Merge(now, a.Load(), fromB)
	b.Estimator.Merge(now, b.Load(), fromA)
	o.sent += messageBytes(fromA) + messageBytes(fromB)
}

// messageBytes is the size of a sample on the wire.
func messageBytes(s meanload.Sample) float64 {
	m := &peer.LoadExchange{Side: s.Side, Service: "letterhouse", Load: float32(s.Load), Mean: float32(s.Mean), MeanKnown: s.Known}
	n, err := peer.FrameSize(m)
	if err != nil {
		return 0
	}
	return float64(n) + wireBytes
}

// shed moves requests away from an engine that carries too much. The side asks each target for its load first, so
// that no move rests on an old report.
func (o *ours) shed(e *engine) {
	side := o.sides[e.index]
	asked := settings.UpstreamID("")
	for range maxShedSteps {
		m, ok := side.NextMove(o.sim.instant())
		if !ok {
			return
		}
		to := o.sim.engines[o.sim.index[m.To]]
		if to.down || to.silent {
			side.Estimator.Forget(m.To)
			continue
		}
		if asked != m.To {
			o.exchange(e.index, to.index)
			asked = m.To
			continue
		}
		asked = ""
		if r := o.movable(e, m); r == nil || !o.move(r, e, m.To) {
			side.RecordMove(m.To, m.Charge)
		}
	}
}

// maxShedSteps bounds the questions and moves of one engine at a time.
const maxShedSteps = 10

// movable returns the request whose charge is nearest to the wanted one: one that waits, else one whose answer has begun,
// else one whose prompt is being read.
func (o *ours) movable(e *engine, m admission.Move) *request {
	var best *request
	for _, set := range []map[*request]bool{e.waiting, e.running} {
		for r := range set {
			if r.charge > m.MaxCharge {
				continue
			}
			if best == nil || e.stage(r) < e.stage(best) || e.stage(r) == e.stage(best) && fitsBetter(r, best, m.Charge) {
				best = r
			}
		}
	}
	return best
}

// stage orders requests by what moving them wastes.
func (e *engine) stage(r *request) int {
	switch {
	case e.waiting[r]:
		return 0
	case r.first:
		return 1
	}
	return 2
}

// fitsBetter compares two requests by how near their charges are to the wanted one, the older first.
func fitsBetter(a, b *request, wanted settings.Tokens) bool {
	da, db := distance(a.charge, wanted), distance(b.charge, wanted)
	return da < db || da == db && a.arrived < b.arrived
}

func distance(a, b settings.Tokens) settings.Tokens { return max(a-b, b-a) }

// move hands a request to a lighter engine, with its prefix.
func (o *ours) move(r *request, e *engine, target settings.UpstreamID) bool {
	side := o.sides[e.index]
	to := o.sim.engines[o.sim.index[target]]
	v := o.ask(r, to, candidates.Step{Side: target, Redirected: true}, e.id, true)
	side.RecordMove(target, r.charge)
	if !v.Admitted {
		return false
	}
	if r.first {
		r.decode = max(1, r.decode-(o.sim.now-r.began)*decodeRate)
	}
	e.finish(o.sim, r)
	p := placement{engine: to.index, ok: true}
	home, _ := o.exact.Home(r.chat.id)
	o.admitted(r, to, home, v, &p)
	o.sim.begin(r, p)
	return true
}

// disagree gives each router a view of its own for the next seconds.
func (o *ours) disagree() {
	for i := range o.views {
		var ids []settings.UpstreamID
		for _, id := range o.set.IDs() {
			if o.sim.rng.Float64() > 0.1 {
				ids = append(ids, id)
			}
		}
		o.views[i] = rendezvous.New(ids)
	}
}

func (o *ours) control() float64 {
	return o.sent / o.sim.end / float64(len(o.sim.engines))
}
