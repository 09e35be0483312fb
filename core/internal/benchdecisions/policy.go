package main

import (
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

var policyNames = []string{"random", "least_loaded", "two_choices", "rendezvous", "bounded_router", "rattantrack"}

// placement is where a request goes.
type placement struct {
	engine     int
	asks       int
	delay      float64
	importFrom *engine
	ok         bool
}

// policy places requests.
type policy interface {
	place(r *request) placement
	round()
	left(e *engine, after float64)
	back(e *engine)
	gaveUp(r *request, e *engine)
	firstToken(r *request)
	served(r *request, e *engine)
	warm(c *chat, e *engine)
	control() float64
}

func newPolicy(s *sim) policy {
	b := &baseline{sim: s, name: s.config.policy, down: make(map[int]bool)}
	for range routers {
		b.counts = append(b.counts, make([]int, s.config.engines))
	}
	b.rerank()
	if s.config.policy == "rattantrack" {
		return newOurs(s, b)
	}
	return b
}

// baseline is the ways that are compared with; routers learn of a lost engine some time later.
type baseline struct {
	sim    *sim
	name   string
	down   map[int]bool
	set    *rendezvous.Set
	counts [][]int
	ticks  int
}

func (b *baseline) rerank() {
	var ids []settings.UpstreamID
	for _, e := range b.sim.engines {
		if !b.down[e.index] {
			ids = append(ids, e.id)
		}
	}
	b.set = rendezvous.New(ids)
}

func (b *baseline) place(r *request) placement {
	router := b.sim.rng.IntN(routers)
	p := placement{ok: true}
	for {
		p.asks++
		p.engine = b.choose(r, router)
		e := b.sim.engines[p.engine]
		if e.silent {
			p.delay += silenceLimit
			b.mark(e)
			continue
		}
		if e.down {
			b.mark(e)
			continue
		}
		b.counts[router][p.engine]++
		r.release = func() { b.counts[router][e.index]-- }
		return p
	}
}

func (b *baseline) mark(e *engine) {
	b.down[e.index] = true
	b.rerank()
}

func (b *baseline) random() int {
	return b.sim.index[b.set.IDs()[b.sim.rng.IntN(b.set.Len())]]
}

func (b *baseline) choose(r *request, router int) int {
	switch b.name {
	case "least_loaded":
		best := b.random()
		for _, id := range b.set.IDs() {
			if i := b.sim.index[id]; b.sim.engines[i].reported < b.sim.engines[best].reported {
				best = i
			}
		}
		return best
	case "two_choices":
		x, y := b.random(), b.random()
		if b.counts[router][y] < b.counts[router][x] {
			return y
		}
		return x
	case "rendezvous":
		home, _ := b.set.Home(r.chat.id)
		return b.sim.index[home]
	case "bounded_router":
		return b.bounded(r, router)
	}
	return b.random()
}

// bounded walks the ranking past engines over the multiple of what this router itself has open.
func (b *baseline) bounded(r *request, router int) int {
	total := 1
	for _, n := range b.counts[router] {
		total += n
	}
	limit := b.sim.multiple * float64(total) / float64(b.set.Len())
	var out [rendezvous.MaxTop]settings.UpstreamID
	n := b.set.Top(r.chat.id, out[:])
	for _, id := range out[:n] {
		if float64(b.counts[router][b.sim.index[id]]+1) <= max(limit, 1) {
			return b.sim.index[id]
		}
	}
	return b.sim.index[out[0]]
}

// round refreshes the lagging reports once a second.
func (b *baseline) round() {
	b.ticks++
	if b.ticks%4 != 0 {
		return
	}
	for _, e := range b.sim.engines {
		e.reported = e.load
	}
}

func (b *baseline) left(e *engine, after float64) {
	b.sim.at(b.sim.now+after, func() {
		if e.down {
			b.mark(e)
		}
	})
}

func (b *baseline) back(e *engine) {
	delete(b.down, e.index)
	b.rerank()
}

func (b *baseline) gaveUp(r *request, e *engine) {
	r.release()
	r.release = nil
	b.mark(e)
}

func (b *baseline) firstToken(*request)      {}
func (b *baseline) served(*request, *engine) {}
func (b *baseline) warm(*chat, *engine)      {}
func (b *baseline) control() float64         { return 0 }
