package main

import (
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

var policyNames = []string{"random", "least_loaded", "two_choices", "rendezvous", "bounded_router", "rattantrack"}

// placement is the engine that a policy has chosen for a request.
type placement struct {
	engine       int
	sideRequests int     // requests to sides, or to engines for the baselines
	delay        float64 // seconds spent on unresponsive engines
	importFrom   *engine // engine that exports the cached prefix, or nil
	ok           bool    // false if the request is refused
}

// policy places requests and is notified of events of the simulation.
type policy interface {
	place(r *request) placement
	// tick runs once per meanload.ExchangeInterval.
	tick()
	// scheduleRemoval makes the routers remove an engine after a delay in seconds, if it is still down.
	scheduleRemoval(e *engine, delay float64)
	engineRecovered(e *engine)
	// deliveryFailed runs when the engine fails between placement and delivery of the request.
	deliveryFailed(r *request, e *engine)
	firstToken(r *request)
	completed(r *request, e *engine)
	// cacheFilled runs when the context of a chat is cached at the start of the simulation.
	cacheFilled(c *chat, e *engine)
	// controlRate returns the control traffic in bytes per second per engine.
	controlRate() float64
}

func newPolicy(s *sim) policy {
	b := &baseline{sim: s, name: s.config.policy, removed: make(map[int]bool)}
	for range routerCount {
		b.openRequests = append(b.openRequests, make([]int, s.config.engines))
	}
	b.rebuildAvailable()
	if s.config.policy == "rattantrack" {
		return newRattantrack(s, b)
	}
	return b
}

// baseline implements the policies that the system is compared with. All routers remove a failed engine at the same time,
// when its removal is announced or when one of them fails to reach it.
type baseline struct {
	sim          *sim
	name         string
	removed      map[int]bool
	available    *rendezvous.Set // engines that are not removed
	openRequests [][]int         // by router and engine
	ticks        int
}

func (b *baseline) rebuildAvailable() {
	var ids []settings.UpstreamID
	for _, e := range b.sim.engines {
		if !b.removed[e.index] {
			ids = append(ids, e.id)
		}
	}
	b.available = rendezvous.New(ids)
}

func (b *baseline) place(r *request) placement {
	router := b.sim.rng.IntN(routerCount)
	p := placement{ok: true}
	for {
		p.sideRequests++
		p.engine = b.choose(r, router)
		e := b.sim.engines[p.engine]
		if e.unresponsive {
			p.delay += responseTimeout
			b.remove(e)
			continue
		}
		if e.down {
			b.remove(e)
			continue
		}
		b.openRequests[router][p.engine]++
		r.release = func() { b.openRequests[router][e.index]-- }
		return p
	}
}

func (b *baseline) remove(e *engine) {
	b.removed[e.index] = true
	b.rebuildAvailable()
}

func (b *baseline) randomEngine() int {
	return b.sim.engineIndex[b.available.IDs()[b.sim.rng.IntN(b.available.Len())]]
}

func (b *baseline) choose(r *request, router int) int {
	switch b.name {
	case "least_loaded":
		best := b.randomEngine()
		for _, id := range b.available.IDs() {
			if i := b.sim.engineIndex[id]; b.sim.engines[i].reportedLoad < b.sim.engines[best].reportedLoad {
				best = i
			}
		}
		return best
	case "two_choices":
		first, second := b.randomEngine(), b.randomEngine()
		if b.openRequests[router][second] < b.openRequests[router][first] {
			return second
		}
		return first
	case "rendezvous":
		primary, _ := b.available.Primary(r.chat.id)
		return b.sim.engineIndex[primary]
	case "bounded_router":
		return b.chooseBounded(r, router)
	}
	return b.randomEngine()
}

// chooseBounded returns the first engine in rendezvous order whose open requests from this router stay within the multiple
// of the router's own mean. If none of the first MaxTop engines does, it returns the primary.
func (b *baseline) chooseBounded(r *request, router int) int {
	total := 1
	for _, n := range b.openRequests[router] {
		total += n
	}
	limit := b.sim.multiple * float64(total) / float64(b.available.Len())
	var ranked [rendezvous.MaxTop]settings.UpstreamID
	n := b.available.Top(r.chat.id, ranked[:])
	for _, id := range ranked[:n] {
		if float64(b.openRequests[router][b.sim.engineIndex[id]]+1) <= max(limit, 1) {
			return b.sim.engineIndex[id]
		}
	}
	return b.sim.engineIndex[ranked[0]]
}

// tick refreshes the reported loads on every fourth call.
func (b *baseline) tick() {
	b.ticks++
	if b.ticks%4 != 0 {
		return
	}
	for _, e := range b.sim.engines {
		e.reportedLoad = e.load
	}
}

func (b *baseline) scheduleRemoval(e *engine, delay float64) {
	b.sim.schedule(b.sim.now+delay, func() {
		if e.down {
			b.remove(e)
		}
	})
}

func (b *baseline) engineRecovered(e *engine) {
	delete(b.removed, e.index)
	b.rebuildAvailable()
}

func (b *baseline) deliveryFailed(r *request, e *engine) {
	r.release()
	r.release = nil
	b.remove(e)
}

func (b *baseline) firstToken(*request)         {}
func (b *baseline) completed(*request, *engine) {}
func (b *baseline) cacheFilled(*chat, *engine)  {}
func (b *baseline) controlRate() float64        { return 0 }
