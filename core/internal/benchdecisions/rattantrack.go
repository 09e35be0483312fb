package main

import (
	"rattantrack.dev/core/admission"
	"rattantrack.dev/core/candidates"
	"rattantrack.dev/core/meanload"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// headerBytes is the size of the TCP and IP headers of a message.
const headerBytes = 40

// In the stale_mean scenario the load exchanges of the first staleRounds of every staleCycle rounds are lost.
const (
	staleRounds = 16
	staleCycle  = 40
)

// rattantrack is the policy that runs the decision code of the system.
type rattantrack struct {
	*baseline
	controllers  []*admission.Controller // one per engine
	allEngines   *rendezvous.Set         // includes failed engines
	routerViews  [routerCount]*rendezvous.Set
	rounds       int
	controlBytes float64
}

func newRattantrack(s *sim, b *baseline) *rattantrack {
	rt := &rattantrack{baseline: b, allEngines: b.available}
	for _, e := range s.engines {
		rt.controllers = append(rt.controllers, rt.newController(e))
	}
	return rt
}

func (rt *rattantrack) newController(e *engine) *admission.Controller {
	c := &admission.Controller{
		Self:   e.id,
		Policy: admission.Policy{Multiple: rt.sim.multiple, PrefillWeight: prefillWeight, CanImport: true},
	}
	c.Prefixes.Limit = cacheCapacity
	return c
}

// routerView returns the engines that one router considers available. In the view_disagreement scenario each router misses
// some of them.
func (rt *rattantrack) routerView(router int) *rendezvous.Set {
	if rt.sim.isScenario("view_disagreement") && rt.routerViews[router] != nil {
		return rt.routerViews[router]
	}
	return rt.available
}

// place tries the sides in candidate order, as a router does.
func (rt *rattantrack) place(r *request) placement {
	router := rt.sim.rng.IntN(routerCount)
	set := rt.routerView(router)
	order := candidates.New(set, r.chat.id, "")
	primary := order.Primary()
	var p placement
	var cacheOwner settings.UpstreamID
	if r.engine != nil {
		cacheOwner = r.engine.id
	}
	for {
		step, ok := order.Next()
		if !ok {
			return p
		}
		p.sideRequests++
		e := rt.sim.engines[rt.sim.engineIndex[step.Side]]
		if e.down || e.unresponsive {
			if e.unresponsive {
				p.delay += responseTimeout
			}
			rt.remove(e)
			continue
		}
		decision := rt.decide(r, e, step, cacheOwner, false)
		if decision.CacheOwner != "" {
			cacheOwner = decision.CacheOwner
		}
		if !decision.Admitted {
			order.Prepend(decision.Next[:])
			order.RecordOverloaded(step.Side, rt.controllers[e.index].Load())
			continue
		}
		p.ok = true
		p.engine = e.index
		rt.recordAdmission(r, e, primary, decision, &p)
		return p
	}
}

// decide returns the admission decision of an engine's side.
func (rt *rattantrack) decide(
	r *request, e *engine, step candidates.Step, cacheOwner settings.UpstreamID, moved bool,
) admission.Decision {
	primary, _ := rt.allEngines.Primary(r.chat.id)
	return rt.controllers[e.index].Decide(rt.sim.instant(), admission.Request{
		Chat:          r.chat.id,
		PromptTokens:  settings.Tokens(r.promptTokens),
		DecodeTokens:  settings.Tokens(r.expectedTokens),
		IsPrimary:     primary == e.id,
		Redirected:    step.Redirected,
		Moved:         moved,
		LastCandidate: step.LastCandidate,
		CacheOwner:    cacheOwner,
	})
}

// recordAdmission adds the import of a decision to the placement, records the engine as cache owner at the primary and
// lets the engine move requests.
func (rt *rattantrack) recordAdmission(
	r *request, e *engine, primary settings.UpstreamID, decision admission.Decision, placed *placement,
) {
	side := rt.controllers[e.index]
	if decision.ImportFrom != "" {
		if from := rt.sim.engines[rt.sim.engineIndex[decision.ImportFrom]]; !from.down && !from.unresponsive && from != e {
			placed.importFrom = from
		}
	}
	rt.sim.schedule(rt.sim.now, func() { rt.moveRequests(e) })
	if decision.ImportFrom != "" {
		missing := r.promptTokens
		if placed.importFrom != nil {
			missing = max(0, r.promptTokens-placed.importFrom.peekTokens(r.chat.id))
		}
		side.RecordMissingImport(&decision, settings.Tokens(missing))
	}
	r.decision = decision
	r.release = func() {
		if rt.controllers[e.index] == side {
			side.Release(&r.decision)
		}
	}
	rt.controllers[rt.sim.engineIndex[primary]].CacheOwners.RecordServed(r.chat.id, e.id)
}

func (rt *rattantrack) cacheFilled(c *chat, e *engine) {
	rt.controllers[e.index].Prefixes.RecordStored(c.id, settings.Tokens(c.contextTokens))
	rt.controllers[e.index].CacheOwners.RecordServed(c.id, e.id)
}

func (rt *rattantrack) firstToken(r *request) {
	side := rt.controllers[r.engine.index]
	side.RecordFirstToken(&r.decision)
	side.Prefixes.RecordStored(r.chat.id, settings.Tokens(r.promptTokens))
}

func (rt *rattantrack) completed(r *request, e *engine) {
	rt.controllers[e.index].Prefixes.RecordStored(r.chat.id, settings.Tokens(r.promptTokens+r.decodeTokens))
}

// engineRecovered replaces the controller of the engine, so that no state from before the failure remains.
func (rt *rattantrack) engineRecovered(e *engine) {
	rt.controllers[e.index] = rt.newController(e)
	rt.baseline.engineRecovered(e)
}

// tick lets each available side exchange its load with a random other side and then move requests away.
func (rt *rattantrack) tick() {
	rt.rounds++
	if rt.rounds%20 == 0 {
		rt.drawRouterViews()
	}
	stale := rt.sim.isScenario("stale_mean") && rt.rounds%staleCycle < staleRounds
	for i, e := range rt.sim.engines {
		if e.down || e.unresponsive {
			continue
		}
		j := rt.sim.rng.IntN(len(rt.sim.engines))
		if other := rt.sim.engines[j]; i != j && !other.down && !other.unresponsive && !stale {
			rt.exchangeLoads(i, j)
		}
		rt.moveRequests(e)
	}
}

func (rt *rattantrack) exchangeLoads(i, j int) {
	now := rt.sim.instant()
	a, b := rt.controllers[i], rt.controllers[j]
	fromA := a.Estimator.Sample(now, a.Self, a.Load())
	fromB := b.Estimator.Sample(now, b.Self, b.Load())
	a.Estimator.Merge(now, a.Load(), fromB)
	b.Estimator.Merge(now, b.Load(), fromA)
	rt.controlBytes += messageBytes(fromA) + messageBytes(fromB)
}

// messageBytes returns the size on the wire of the message that carries a sample.
func messageBytes(s meanload.Sample) float64 {
	m := &peer.LoadExchange{
		Side:      s.Side,
		Service:   "letterhouse",
		Load:      float32(s.Load),
		Mean:      float32(s.Mean),
		MeanKnown: s.MeanKnown,
	}
	n, err := peer.FrameSize(m)
	if err != nil {
		return 0
	}
	return float64(n) + headerBytes
}

// moveRequests moves requests away from an overloaded engine. The side asks the target for its load before each move, so
// that no move depends on an old report.
func (rt *rattantrack) moveRequests(e *engine) {
	side := rt.controllers[e.index]
	queried := settings.UpstreamID("")
	for range maxMoveSteps {
		move, ok := side.NextMove(rt.sim.instant())
		if !ok {
			return
		}
		to := rt.sim.engines[rt.sim.engineIndex[move.To]]
		if to.down || to.unresponsive {
			side.Estimator.Forget(move.To)
			continue
		}
		if queried != move.To {
			rt.exchangeLoads(e.index, to.index)
			queried = move.To
			continue
		}
		queried = ""
		if r := rt.selectMovable(e, move); r == nil || !rt.move(r, e, move.To) {
			side.RecordMove(move.To, move.Charge)
		}
	}
}

// maxMoveSteps bounds the load queries and moves in one call of moveRequests.
const maxMoveSteps = 10

// selectMovable returns the request whose charge is nearest to the wanted one and at most MaxCharge, or nil. It prefers
// queued requests, then requests whose answer has begun, then requests in prefill.
func (rt *rattantrack) selectMovable(e *engine, move admission.Move) *request {
	var best *request
	for _, set := range []map[*request]bool{e.waiting, e.running} {
		for r := range set {
			if r.charge > move.MaxCharge {
				continue
			}
			if best == nil || e.moveStage(r) < e.moveStage(best) ||
				e.moveStage(r) == e.moveStage(best) && closerCharge(r, best, move.Charge) {
				best = r
			}
		}
	}
	return best
}

// moveStage orders requests by the work that a move wastes, the least first.
func (e *engine) moveStage(r *request) int {
	switch {
	case e.waiting[r]:
		return 0
	case r.firstTokenSent:
		return 1
	}
	return 2
}

// closerCharge reports whether the charge of a is closer to the wanted one than that of b. The older request wins a tie.
func closerCharge(a, b *request, wanted settings.Tokens) bool {
	distanceA, distanceB := distance(a.charge, wanted), distance(b.charge, wanted)
	return distanceA < distanceB || distanceA == distanceB && a.arrival < b.arrival
}

func distance(a, b settings.Tokens) settings.Tokens { return max(a-b, b-a) }

// move hands a request over to another engine, which may import its prefix, and reports whether that engine admits it.
func (rt *rattantrack) move(r *request, e *engine, target settings.UpstreamID) bool {
	side := rt.controllers[e.index]
	to := rt.sim.engines[rt.sim.engineIndex[target]]
	decision := rt.decide(r, to, candidates.Step{Side: target, Redirected: true}, e.id, true)
	side.RecordMove(target, r.charge)
	if !decision.Admitted {
		return false
	}
	if r.firstTokenSent {
		r.decodeTokens = max(1, r.decodeTokens-(rt.sim.now-r.decodeStart)*decodeRate)
	}
	e.finish(rt.sim, r)
	p := placement{engine: to.index, ok: true}
	primary, _ := rt.allEngines.Primary(r.chat.id)
	rt.recordAdmission(r, to, primary, decision, &p)
	rt.sim.deliver(r, p)
	return true
}

// drawRouterViews draws a new view for each router, in which each available engine is missing with probability 0.1.
func (rt *rattantrack) drawRouterViews() {
	for i := range rt.routerViews {
		var ids []settings.UpstreamID
		for _, id := range rt.available.IDs() {
			if rt.sim.rng.Float64() > 0.1 {
				ids = append(ids, id)
			}
		}
		rt.routerViews[i] = rendezvous.New(ids)
	}
}

func (rt *rattantrack) controlRate() float64 {
	return rt.controlBytes / rt.sim.end / float64(len(rt.sim.engines))
}
