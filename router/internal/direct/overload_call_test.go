package direct

import (
	"context"
	"fmt"
	"slices"
	"time"

	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/placement"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/waiting"
)

// simRouter is a router with the requests that wait there.
type simRouter struct {
	*Dispatcher
	waiting []*simCall
	// own counts the router's own requests by engine, for the naive rule.
	own []int
}

// simCall is a client's request; it comes back once if it is refused.
type simCall struct {
	sim    *overloadSim
	router *simRouter
	prompt *simPrompt
	team   int
	sent   clock.Instant // first by the client
	again  bool
	done   bool
	ex     *exchange
	start  clock.Instant // of the wait for an upstream
	waiter *waiting.Waiter
	engine *simEngine
	inst   members.Instance
	// offered is when the request was sent to the engine.
	offered clock.Instant
	attempt int
	events  int
	late    bool
	// progress is when the client got the last event, or sent the request.
	progress clock.Instant
	// reserved, unread and left are an engine's: the memory taken, the tokens to prefill (-1 before the start) and those to produce.
	reserved, unread, left settings.Tokens
}

// begin sends the request to a router.
func (c *simCall) begin() {
	s := c.sim
	c.router = s.routers[s.rng.IntN(len(s.routers))]
	class := c.prompt.class
	route := settings.Route{
		Kind: settings.RouteStream, Resumable: true, Attempts: class.attempts, Timeout: class.deadline,
		Objective: class.objective, PauseObjective: class.pause, Rank: class.rank, Affinity: true,
	}
	if class.attempts == 1 {
		route.Resumable = false
	}
	r := &Request{
		RouteConfig: route, Service: simService, Rank: class.rank, Arrived: s.now, Deadline: s.now.Add(class.deadline),
		Team: settings.TeamID(fmt.Sprint(c.team)),
	}
	r.PromptBlocks = []call.PromptBlock{c.prompt.block, {ID: 1, Tokens: class.own}}
	c.ex = &exchange{Request: r, dispatcher: c.router.Dispatcher, relay: relay{}}
	c.start, c.progress, c.events, c.attempt = s.now, s.now, 0, c.attempt+1
	c.router.Budget.RecordRequest(s.now, simService)
	c.router.Demand.Record(s.now, simService, class.rank, class.objective)
	c.watch(c.attempt)
	if !s.naive && !c.ex.withinShare(context.Background()) {
		c.refused()
		return
	}
	c.place()
}

// watch ends the request when its client no longer waits.
func (c *simCall) watch(attempt int) {
	class := c.prompt.class
	end := min(c.ex.Deadline, c.progress.Add(max(2*time.Second, 4*class.objective, 8*class.pause)))
	if c.sim.now < end {
		c.sim.after(end.Sub(c.sim.now), func() {
			if !c.done && c.attempt == attempt && c.ex != nil {
				c.watch(attempt)
			}
		})
		return
	}
	c.leaveQueue()
	c.leaveEngine()
	c.fail()
}

// place chooses an upstream, as exchange.nextUpstream does, without blocking.
func (c *simCall) place() {
	s, d := c.sim, c.router.Dispatcher
	if s.naive {
		c.send(c.router.naivePlace(c.prompt), members.Instance{})
		return
	}
	inst, choice := d.reserve(s.now, c.ex.Request, &c.ex.tried)
	switch {
	case choice.Reason == placement.Chosen:
		c.ex.recordRoom(s.now)
		c.ex.res.Choice = choice
		c.send(slices.Index(s.ids, inst.ID), inst)
	case choice.Reason == placement.NoUpstream:
		c.ex.giveUp(context.Background(), CodeNoUpstream, defaultRetryAfter)
		c.refused()
	default:
		c.wait()
	}
}

// wait waits for room, as exchange.waitForRoom does, without blocking.
func (c *simCall) wait() {
	s, d := c.sim, c.router.Dispatcher
	limit := c.ex.waitLimit(c.start)
	if c.ex.waiter == nil {
		c.ex.waiter = &waiting.Waiter{Rank: c.ex.Rank}
	}
	w := c.ex.waiter
	w.Deadline = limit
	if refusal := d.Queues.Enter(s.now, simService, w); refusal != nil {
		c.ex.giveUp(context.Background(), CodeOverloaded, refusal.RetryAfter)
		c.refused()
		return
	}
	c.waiter = w
	c.router.waiting = append(c.router.waiting, c)
	ready := w.Ready()
	s.after(limit.Sub(s.now), func() {
		if c.waiter == w && w.Ready() == ready {
			c.leaveQueue()
			c.ex.giveUp(context.Background(), CodeOverloaded, d.Queues.RetryAfter(s.now, simService))
			c.refused()
		}
	})
}

func (c *simCall) leaveQueue() {
	if c.waiter == nil {
		return
	}
	c.router.Queues.Leave(simService, c.waiter)
	c.waiter = nil
	c.router.waiting = slices.DeleteFunc(c.router.waiting, func(other *simCall) bool { return other == c })
}

// send sends the request to an engine.
func (c *simCall) send(engine int, inst members.Instance) {
	s := c.sim
	e := s.engines[engine]
	c.engine, c.inst, c.offered = e, inst, s.now
	c.ex.answeredAt = 0
	c.router.own[engine]++
	if !s.naive {
		c.router.Affinity.RecordUse(s.now, c.ex.sharedBlocks(), e.id)
	}
	if !e.offer(c) {
		c.ended(inst, attempt.Refused)
		return
	}
	if !s.naive && c.ex.RouteConfig.Repeatable() && c.ex.res.Runs+1 < c.ex.RouteConfig.Attempts {
		timeout := max(minStallTimeout, responseTimeoutFactor*c.prompt.class.objective)
		timeout += waiting.Wait(c.router.runTime(c.ex.Request), c.ex.res.Choice.Load, simSlots)
		c.watchStall(c.attempt, e, timeout)
	}
}

// watchStall gives up an attempt without progress, as the stall timer does.
func (c *simCall) watchStall(attemptNumber int, e *simEngine, wait time.Duration) {
	s, since := c.sim, max(c.progress, c.offered)
	s.after(since.Add(wait).Sub(s.now), func() {
		pause := max(minStallTimeout, stallTimeoutFactor*c.prompt.class.pause)
		switch {
		case c.done || c.attempt != attemptNumber || c.engine != e:
		case c.progress > since:
			c.watchStall(attemptNumber, e, pause)
		case !c.ex.takeRetry(c.inst, "stalled"):
			s.after(pause, func() { c.watchStall(attemptNumber, e, pause) })
		default:
			c.ex.res.Runs++
			c.ex.stalled = true
			c.ended(c.inst, attempt.Lost)
		}
	})
}

// event is an event of the stream at the client.
func (c *simCall) event() {
	now := c.sim.now
	if c.events == 0 {
		c.ex.answeredAt = now
		c.late = now.Sub(c.sent) > c.prompt.class.objective
	} else if now.Sub(c.progress) > c.prompt.class.pause {
		c.late = true
	}
	c.events++
	c.progress = now
}

// complete is the last event of the stream at the client.
func (c *simCall) complete() {
	c.event()
	c.done = true
	if !c.sim.naive {
		c.ex.recordRunTime(c.inst, c.offered)
	}
	t := c.sim.tally(c)
	if c.late {
		t.late++
	} else {
		t.onTime++
	}
	c.leaveEngine()
}

// ended follows an attempt that has no answer, as exchange.run does.
func (c *simCall) ended(inst members.Instance, ending attempt.Ending) {
	s, ex := c.sim, c.ex
	c.leaveEngine()
	if s.naive {
		ex.res.RetryAfter = time.Second
		c.refused()
		return
	}
	ex.res.LastEnding = ending
	ex.res.Attempts++
	ex.recordEnding(context.Background(), inst, ending)
	step := attempt.Next(attempt.State{
		Ending: ending, Repeatable: ex.RouteConfig.Repeatable(), Runs: ex.res.Runs, MaxRuns: ex.RouteConfig.Attempts,
		Attempts: ex.res.Attempts, Remaining: ex.Remaining(s.now),
	})
	if step == attempt.Retry && !ex.allowRetry(inst, ending) {
		step = attempt.Stop
	}
	if step != attempt.Stop {
		c.start = s.now
		c.place()
		return
	}
	if ex.res.Runs > 0 {
		c.fail()
		return
	}
	// As exchange.finish does, with the simulation's random numbers.
	ex.res.RetryAfter = max(c.router.Queues.RetryAfter(s.now, simService), c.router.Refusals.RetryAfter(s.now, simService, s.rng.Float64()))
	c.refused()
}

// leaveEngine ends an attempt and lets the requests go on that wait at the router.
func (c *simCall) leaveEngine() {
	e := c.engine
	if e == nil {
		return
	}
	e.remove(c)
	c.engine = nil
	r := c.router
	r.own[e.index]--
	if c.sim.naive {
		return
	}
	r.InFlight.End(e.id)
	r.Residence.Record(simService, c.sim.now.Sub(c.offered))
	r.Queues.RequestEnded(c.sim.now, simService)
	for i := 0; i < len(r.waiting); i++ {
		w := r.waiting[i]
		select {
		case <-w.waiter.Ready():
			w.leaveQueue()
			w.place()
			i = -1
		default:
		}
	}
}

// refused sends the client away, which comes back once as told.
func (c *simCall) refused() {
	if c.again {
		c.done = true
		c.sim.tally(c).refused++
		return
	}
	c.again = true
	c.attempt++
	c.sim.after(c.ex.res.RetryAfter, c.begin)
}

func (c *simCall) fail() {
	c.done = true
	c.sim.tally(c).failed++
}

// naivePlace hashes the prompt over the engines, bounded by the router's own counts.
func (r *simRouter) naivePlace(p *simPrompt) int {
	total := 0
	for _, n := range r.own {
		total += n
	}
	bound := 1.4*float64(total)/float64(len(r.own)) + 2
	for i := range r.own {
		e := (p.home + i) % len(r.own)
		if float64(r.own[e]+1) <= bound {
			return e
		}
	}
	return p.home
}
