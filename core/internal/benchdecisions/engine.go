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

// prefillWeight is the cost of a prompt token in answer tokens.
const prefillWeight = decodeRate * fullSpeedStreams / prefillRate

// answerLengths are the mean answer lengths of the request profiles, in tokens. Frequent profiles have several entries.
var answerLengths = []float64{150, 150, 150, 150, 20, 20, 20, 600}

// request is one request of a chat.
type request struct {
	chat           *chat
	promptTokens   float64
	decodeTokens   float64 // tokens of the answer that are left to generate
	expectedTokens float64 // mean answer length, from which the charge is computed
	arrival        float64
	firstTokenSent bool // the client has the first token
	counted        bool // included in stats.requests
	countReuse     bool // the chat returns, and the reuse of its cache is not yet counted

	engine        *engine
	item          *fairqueue.Item
	charge        settings.Tokens // part of the engine's load
	prefillCharge settings.Tokens // part of charge until the first token
	generation    int             // changes with each placement, so that events of an earlier one are ignored
	decodeStart   float64
	release       func() // takes the request out of the policy's counts
	decision      admission.Decision
}

func newRequest(s *sim, c *chat) *request {
	length := answerLengths[s.rng.IntN(len(answerLengths))]
	r := &request{
		chat:           c,
		promptTokens:   c.contextTokens,
		expectedTokens: length,
		decodeTokens:   length * (0.5 + s.rng.Float64()),
		arrival:        s.now,
		countReuse:     c.returning,
	}
	c.returning = true
	c.contextTokens += r.decodeTokens + 200
	if c.contextTokens > maxContextTokens {
		c.contextTokens = 1000
	}
	return r
}

// detach takes a request off a failed engine and returns it.
func (r *request) detach() *request {
	r.generation++
	r.engine = nil
	return r
}

// engine simulates a model engine with a prefix cache, one prefill at a time, and streams that slow each other down.
type engine struct {
	index              int
	id                 settings.UpstreamID
	down, unresponsive bool
	cache              *simplelru.LRU[uint64, float64]
	cacheSize          float64 // tokens in the cache
	running            map[*request]bool
	waiting            map[*request]bool
	scheduler          fairqueue.Scheduler
	prefillFreeAt      float64 // time at which the next prefill can start
	load               settings.Tokens
	reportedLoad       settings.Tokens // load at the last report to the baselines
}

func newEngine(i int) *engine {
	e := &engine{index: i, id: settings.UpstreamID(fmt.Sprintf("engine-%04d", i))}
	e.reset()
	return e
}

// reset drops all state and makes the engine available.
func (e *engine) reset() {
	e.cache, _ = simplelru.NewLRU(1<<20, func(_ uint64, n float64) { e.cacheSize -= n })
	e.cacheSize = 0
	e.running = make(map[*request]bool)
	e.waiting = make(map[*request]bool)
	e.scheduler = fairqueue.Scheduler{Slots: maxRunning, MaxQueued: 1000}
	e.load, e.prefillFreeAt = 0, 0
	e.down, e.unresponsive = false, false
}

// fail drops all state and returns the requests that were running or queued.
func (e *engine) fail(unresponsive bool) []*request {
	var lost []*request
	for _, set := range []map[*request]bool{e.running, e.waiting} {
		for r := range set {
			lost = append(lost, r)
			r.generation++
			if r.release != nil {
				r.release()
			}
		}
	}
	// The iteration order of maps differs between runs, and runs with the same seed must be identical.
	slices.SortFunc(lost, func(a, b *request) int { return cmp.Compare(a.arrival, b.arrival) })
	e.reset()
	e.down, e.unresponsive = !unresponsive, unresponsive
	return lost
}

// cachedTokens returns the cached tokens of a chat and marks the chat as recently used.
func (e *engine) cachedTokens(id uint64) float64 {
	n, _ := e.cache.Get(id)
	return n
}

// peekTokens returns the cached tokens of a chat without marking the chat as used, as an export does.
func (e *engine) peekTokens(id uint64) float64 {
	n, _ := e.cache.Peek(id)
	return n
}

// store caches n tokens of a chat and evicts the least recently used chats above cacheCapacity.
func (e *engine) store(id uint64, n float64) {
	e.cache.Remove(id)
	e.cache.Add(id, n)
	e.cacheSize += n
	for e.cacheSize > cacheCapacity && e.cache.Len() > 1 {
		e.cache.RemoveOldest()
	}
}

// enqueue queues a request, after the import of its prefix if the placement has one. The load includes its charge until it
// finishes.
func (e *engine) enqueue(s *sim, r *request, p placement) {
	if p.importFrom != nil {
		n := min(p.importFrom.peekTokens(r.chat.id), r.promptTokens)
		s.stats.movedBytes += n * kvBytesPerToken
		e.store(r.chat.id, n)
		e.prefillFreeAt = max(e.prefillFreeAt, s.now+n*kvBytesPerToken/transferRate)
	}
	hit := min(e.cachedTokens(r.chat.id), r.promptTokens)
	if r.countReuse && s.now >= warmUp && r.counted {
		s.stats.reusedTokens += hit
		s.stats.returningTokens += r.promptTokens
	}
	r.countReuse = false
	r.engine = e
	r.prefillCharge = settings.Tokens(prefillWeight * (r.promptTokens - hit))
	r.charge = settings.Tokens(r.expectedTokens) + r.prefillCharge
	e.load += r.charge
	e.waiting[r] = true
	r.item = s.queueItem(r, func() { e.start(s, r, r.promptTokens-hit) })
	if !e.scheduler.Push(s.instant(), r.item) {
		e.finish(s, r)
		s.stats.refused++
		return
	}
	e.startNext(s)
}

// startNext starts queued requests while the scheduler returns any.
func (e *engine) startNext(s *sim) {
	for item := e.scheduler.Pop(s.instant()); item != nil; item = e.scheduler.Pop(s.instant()) {
		item.Start()
	}
}

// start begins the prefill of a request, which waits for earlier prefills.
func (e *engine) start(s *sim, r *request, missing float64) {
	delete(e.waiting, r)
	e.running[r] = true
	e.prefillFreeAt = max(s.now, e.prefillFreeAt) + missing/prefillRate
	generation := r.generation
	s.schedule(e.prefillFreeAt, func() {
		if r.generation == generation {
			e.firstToken(s, r)
		}
	})
}

// firstToken ends the prefill of a request and schedules the end of its answer. The decode rate of the whole answer
// depends on the number of streams at this time.
func (e *engine) firstToken(s *sim, r *request) {
	if !r.firstTokenSent && s.now >= warmUp {
		list := &s.stats.ttftOthers
		if r.chat.team == surgingTeam {
			list = &s.stats.ttftSurging
		}
		*list = append(*list, s.now-r.arrival)
	}
	r.firstTokenSent = true
	e.load -= r.prefillCharge
	r.charge -= r.prefillCharge
	r.prefillCharge = 0
	s.policy.firstToken(r)
	e.store(r.chat.id, r.promptTokens)
	rate := decodeRate * min(1, fullSpeedStreams/float64(len(e.running)))
	generation := r.generation
	r.decodeStart = s.now
	s.schedule(s.now+r.decodeTokens/rate, func() {
		if r.generation == generation {
			e.store(r.chat.id, r.promptTokens+r.decodeTokens)
			s.policy.completed(r, e)
			e.finish(s, r)
		}
	})
}

// finish removes a request that has ended or moves to another engine.
func (e *engine) finish(s *sim, r *request) {
	r.generation++
	e.load -= r.charge
	delete(e.running, r)
	delete(e.waiting, r)
	e.scheduler.Done(s.instant(), r.item)
	if r.release != nil {
		r.release()
		r.release = nil
	}
	e.startNext(s)
}
