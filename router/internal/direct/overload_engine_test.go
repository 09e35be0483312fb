package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/settings"
)

// Properties of a simulated engine.
const (
	simSlots       = 64
	simQueue       = 192
	simMemory      = 487_000 // tokens
	simStep        = 3400 * time.Microsecond
	simStepRequest = 11 * time.Microsecond // added to a step by each request
	simPrefillRate = 61                    // tokens in a millisecond
	simEventTokens = 9
	// simBatch is the number of steps that are simulated at once, simChunk the number of prompt tokens prefilled beside one step.
	simBatch = 3
	simChunk = 512
)

// simEngine is an engine that runs requests in batches. Its memory is shared by running requests and cached prompt blocks, of which the
// least recently used yield.
type simEngine struct {
	sim     *overloadSim
	index   int
	id      settings.UpstreamID
	queue   []*simCall // the most urgent first, then in order of arrival
	running []*simCall
	cache   *simplelru.LRU[call.PromptBlockID, settings.Tokens]
	// cached is the number of tokens in the cache, reserved that of running requests.
	cached, reserved settings.Tokens
	busy             bool
}

func newSimEngine(s *overloadSim, i int, id settings.UpstreamID) *simEngine {
	e := &simEngine{sim: s, index: i, id: id}
	// NewLRU fails only for a size below one.
	e.cache, _ = simplelru.NewLRU(1<<20, func(_ call.PromptBlockID, n settings.Tokens) { e.cached -= n })
	return e
}

// store caches a block and evicts the least recently used ones that have no room.
func (e *simEngine) store(block call.PromptBlockID, n settings.Tokens) {
	e.cache.Remove(block)
	e.cache.Add(block, n)
	e.cached += n
	e.evict()
}

func (e *simEngine) evict() {
	for e.cached+e.reserved > simMemory && e.cache.Len() > 0 {
		e.cache.RemoveOldest()
	}
}

// offer queues a call, and reports false if the queue is full.
func (e *simEngine) offer(c *simCall) bool {
	if len(e.queue) >= simQueue {
		return false
	}
	i, _ := slices.BinarySearchFunc(e.queue, c, func(x, y *simCall) int { return cmp.Or(cmp.Compare(x.ex.Rank, y.ex.Rank), -1) })
	e.queue = slices.Insert(e.queue, i, c)
	e.step()
	return true
}

// remove takes away a call that was given up.
func (e *simEngine) remove(c *simCall) {
	e.queue = slices.DeleteFunc(e.queue, func(other *simCall) bool { return other == c })
	if i := slices.Index(e.running, c); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.reserved -= c.reserved
	}
}

// step admits queued calls and simulates the next steps of the batch.
func (e *simEngine) step() {
	if e.busy {
		return
	}
	for len(e.queue) > 0 && len(e.running) < simSlots {
		c := e.queue[0]
		// The shared part counts once for all that run with it, as long as it is used.
		need := c.prompt.own + c.prompt.class.events*simEventTokens
		if e.reserved+need > simMemory/2 {
			break
		}
		e.queue = e.queue[1:]
		c.reserved, c.unread, c.left = need, -1, need-c.prompt.own
		e.reserved += need
		e.running = append(e.running, c)
	}
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	e.evict()
	chunk := settings.Tokens(simBatch * simChunk)
	decoding := e.running[:0:0]
	for _, c := range e.running {
		if c.unread != 0 && chunk > 0 {
			chunk -= e.prefill(c, chunk)
		}
		if c.unread == 0 {
			decoding = append(decoding, c)
		}
	}
	read := simBatch*simChunk - chunk
	d := simBatch*(simStep+time.Duration(len(e.running))*simStepRequest) + time.Duration(read)*time.Millisecond/simPrefillRate
	e.sim.after(d, func() {
		e.busy = false
		for _, c := range decoding {
			e.decode(c)
		}
		e.step()
	})
}

// prefill reads up to chunk tokens of a prompt, and returns how many. What is cached is not read.
func (e *simEngine) prefill(c *simCall, chunk settings.Tokens) settings.Tokens {
	shared := c.prompt.block
	if c.unread < 0 {
		c.unread = c.prompt.own
		if _, ok := e.cache.Get(shared.ID); !ok {
			c.unread += shared.Tokens
			e.sim.readAgain += shared.Tokens
		}
	}
	n := min(chunk, c.unread)
	c.unread -= n
	if c.unread == 0 {
		e.store(shared.ID, shared.Tokens)
	}
	return n
}

// decode produces the tokens of a batch for a call.
func (e *simEngine) decode(c *simCall) {
	if c.engine != e {
		return // given up meanwhile
	}
	before := c.left
	c.left -= simBatch
	if before/simEventTokens == c.left/simEventTokens && c.left > 0 {
		return
	}
	if c.left > 0 {
		c.event()
		return
	}
	e.remove(c)
	e.sim.lastOwn++
	e.store(e.sim.lastOwn, c.reserved)
	c.complete()
}
