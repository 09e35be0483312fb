package main

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/admission"
	"rattantrack.dev/core/fairqueue"
	"rattantrack.dev/core/settings"
)

// prefillWeight is the work of a prompt token in units of an answer token.
const prefillWeight = decodeRate * fullSpeed / prefillRate

// profile means of the answers' lengths.
var answerLengths = []float64{150, 150, 150, 150, 20, 20, 20, 600}

// request is one turn of a chat on its way.
type request struct {
	chat     *chat
	prompt   float64
	decode   float64 // tokens that the answer will have
	expected float64 // tokens that its profile's answers have on average
	arrived  float64
	first    bool // the caller has the first token
	counted  bool
	returned bool

	engine  *engine
	item    *fairqueue.Item
	charge  settings.Tokens
	prefill settings.Tokens
	ticket  int // counts placements, so that events of an earlier one are ignored
	began   float64
	release func()
	verdict admission.Decision
}

func newRequest(s *sim, c *chat) *request {
	length := answerLengths[s.rng.IntN(len(answerLengths))]
	r := &request{chat: c, prompt: c.context, expected: length, decode: length * (0.5 + s.rng.Float64()), arrived: s.now, returned: c.known}
	c.known = true
	c.context += r.decode + 200
	if c.context > maxContext {
		c.context = 1000
	}
	return r
}

// resumed returns the request for another engine to go on with.
func (r *request) resumed() *request {
	r.ticket++
	r.engine = nil
	return r
}

// engine is an in-memory model engine: a prefix cache, one prefill at a time, and streams that slow each other.
type engine struct {
	index        int
	id           settings.UpstreamID
	down, silent bool
	cache        *simplelru.LRU[uint64, float64]
	held         float64
	running      map[*request]bool
	waiting      map[*request]bool
	scheduler    fairqueue.Scheduler
	prefillFree  float64
	load         settings.Tokens
	reported     settings.Tokens
}

func newEngine(i int) *engine {
	e := &engine{index: i, id: settings.UpstreamID(fmt.Sprintf("engine-%04d", i))}
	e.recover()
	return e
}

func (e *engine) recover() {
	e.cache, _ = simplelru.NewLRU(1<<20, func(_ uint64, n float64) { e.held -= n })
	e.held = 0
	e.running = make(map[*request]bool)
	e.waiting = make(map[*request]bool)
	e.scheduler = fairqueue.Scheduler{Slots: maxRunning, MaxQueued: 1000}
	e.load, e.prefillFree = 0, 0
	e.down, e.silent = false, false
}

// fail drops everything and returns what was running or waiting.
func (e *engine) fail(silent bool) []*request {
	var lost []*request
	for _, set := range []map[*request]bool{e.running, e.waiting} {
		for r := range set {
			lost = append(lost, r)
			r.ticket++
			if r.release != nil {
				r.release()
			}
		}
	}
	// The order of a map is drawn anew in each run, and runs must be alike.
	slices.SortFunc(lost, func(a, b *request) int { return cmp.Compare(a.arrived, b.arrived) })
	e.recover()
	e.down, e.silent = !silent, silent
	return lost
}

func (e *engine) cached(id uint64) float64 {
	n, _ := e.cache.Get(id)
	return n
}

// peek looks without touching, as an export does.
func (e *engine) peek(id uint64) float64 {
	n, _ := e.cache.Peek(id)
	return n
}

func (e *engine) store(id uint64, n float64) {
	e.cache.Remove(id)
	e.cache.Add(id, n)
	e.held += n
	for e.held > cacheTokens && e.cache.Len() > 1 {
		e.cache.RemoveOldest()
	}
}

// take queues a request; the load counts it from here to its end.
func (e *engine) take(s *sim, r *request, p placement) {
	if p.importFrom != nil {
		n := min(p.importFrom.peek(r.chat.id), r.prompt)
		s.stats.moved += n * kvBytes
		e.store(r.chat.id, n)
		e.prefillFree = max(e.prefillFree, s.now+n*kvBytes/transferRate)
	}
	hit := min(e.cached(r.chat.id), r.prompt)
	if r.returned && s.now >= warmUp && r.counted {
		s.stats.reused += hit
		s.stats.returned += r.prompt
	}
	r.returned = false
	r.engine = e
	r.prefill = settings.Tokens(prefillWeight * (r.prompt - hit))
	r.charge = settings.Tokens(r.expected) + r.prefill
	e.load += r.charge
	e.waiting[r] = true
	r.item = s.teamItem(r, func() { e.start(s, r, r.prompt-hit) })
	if !e.scheduler.Push(s.instant(), r.item) {
		e.finish(s, r)
		s.stats.refused++
		return
	}
	e.next(s)
}

func (e *engine) next(s *sim) {
	for it := e.scheduler.Pop(s.instant()); it != nil; it = e.scheduler.Pop(s.instant()) {
		it.Start()
	}
}

func (e *engine) start(s *sim, r *request, missing float64) {
	delete(e.waiting, r)
	e.running[r] = true
	e.prefillFree = max(s.now, e.prefillFree) + missing/prefillRate
	ticket := r.ticket
	s.at(e.prefillFree, func() {
		if r.ticket == ticket {
			e.firstToken(s, r)
		}
	})
}

func (e *engine) firstToken(s *sim, r *request) {
	if !r.first && s.now >= warmUp {
		list := &s.stats.others
		if r.chat.team == surgingTeam {
			list = &s.stats.surging
		}
		*list = append(*list, s.now-r.arrived)
	}
	r.first = true
	e.load -= r.prefill
	r.charge -= r.prefill
	r.prefill = 0
	s.policy.firstToken(r)
	e.store(r.chat.id, r.prompt)
	rate := decodeRate * min(1, fullSpeed/float64(len(e.running)))
	ticket := r.ticket
	r.began = s.now
	s.at(s.now+r.decode/rate, func() {
		if r.ticket == ticket {
			e.store(r.chat.id, r.prompt+r.decode)
			s.policy.served(r, e)
			e.finish(s, r)
		}
	})
}

// finish takes a request off the engine, whether it has ended or moves on.
func (e *engine) finish(s *sim, r *request) {
	r.ticket++
	e.load -= r.charge
	delete(e.running, r)
	delete(e.waiting, r)
	e.scheduler.Done(s.instant(), r.item)
	if r.release != nil {
		r.release()
		r.release = nil
	}
	e.next(s)
}
