package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/work"
)

// Properties of the upstreams in the replays of work.
const (
	tokensPerMS     = 85
	perToken        = time.Millisecond / tokensPerMS
	pauseObjective  = 300 * time.Millisecond
	eventObjective  = 600 * time.Millisecond
	slowTime        = 600 * time.Millisecond
	slowFactor      = 2.5
	slowShare       = 0.15
	exchangeTime    = 80 * time.Millisecond
	streamsOfEngine = 5
)

// timePolicy is the router's policy for engines that state their speed.
var timePolicy = func() Policy {
	p := policy
	p.LateCost, p.SpreadCost = 30, 0.5
	return p
}()

// engine is an upstream that prefills one prompt after the other and is slow at times.
type engine struct {
	id        settings.UpstreamID
	random    *rand.Rand
	slow      bool
	slowUntil clock.Instant
	// busySince and busyUntil span the prefills without a gap between them.
	busySince, busyUntil clock.Instant
}

func (e *engine) slowdown(now clock.Instant) float64 {
	for e.slowUntil <= now {
		e.slowUntil, e.slow = e.slowUntil.Add(slowTime), e.random.Float64() < slowShare
	}
	if e.slow {
		return slowFactor
	}
	return 1
}

// prefill adds a prompt and returns when it is prefilled.
func (e *engine) prefill(now clock.Instant, tokens settings.Tokens, slowdown float64) clock.Instant {
	if e.busyUntil <= now {
		e.busySince, e.busyUntil = now, now
	}
	e.busyUntil = e.busyUntil.Add(time.Duration(float64(tokens) * slowdown * float64(perToken)))
	return e.busyUntil
}

// frontend is a router with its work and its readings.
type frontend struct {
	work.Tracker
	ending []ending
}

type ending struct {
	at    clock.Instant
	entry *work.Entry
}

// lateness is the outcome of a replay: requests whose first event is late, streams that pause for too long, and the slow prefills.
type lateness struct {
	requests, firstEvents, pauses int
}

// replayClumps sends long prompts that no engine has cached, in clumps from different routers, for half a minute. With times set, the
// routers know the work and the speeds as far as their exchanges tell them; without, they know the load alone.
func replayClumps(times bool) lateness {
	r := rand.New(rand.NewPCG(3, 4))
	engines, ids := make([]engine, 40), make([]settings.UpstreamID, 40)
	for i := range engines {
		ids[i] = settings.UpstreamID(fmt.Sprintf("e%02d", i))
		engines[i] = engine{id: ids[i], random: rand.New(rand.NewPCG(5, uint64(i))), slowUntil: clock.Instant(r.Int64N(int64(slowTime)))}
	}
	routers := make([]*frontend, 16)
	for i := range routers {
		routers[i] = &frontend{}
	}
	ring := rendezvous.New(ids)
	var exchanged clock.Instant
	var out lateness
	loads := make([]int, len(engines))
	for now := clock.Instant(time.Second); now < clock.Instant(31*time.Second); now = now.Add(time.Millisecond) {
		if now.Sub(exchanged) >= exchangeTime {
			exchanged = now
			exchange(now, routers)
			for i := range loads {
				loads[i] = streamsOfEngine + r.IntN(5)
			}
		}
		// Answers to short requests state the speed.
		if i := r.IntN(len(engines)); r.Float64() < 0.4 {
			routers[r.IntN(len(routers))].Record(now, ids[i], engines[i].slowdown(now))
		}
		for _, f := range routers {
			f.end(now)
		}
		if r.Float64() >= clumpRate(now) {
			continue
		}
		f := routers[r.IntN(len(routers))]
		tokens := settings.Tokens(4000 + r.IntN(9000))
		request := Request{DataCentre: "kano", SharedTokens: tokens, PromptTokens: tokens, Affinity: true}
		order := ring.Order(r.Uint64())
		primary := 0
		for i := range order {
			if order[i] < order[primary] {
				primary = i
			}
		}
		candidates := make([]Candidate, len(engines))
		waiting, slowdown := f.Waiting(now, ids, perToken), f.Excess(now, ids)
		for i := range engines {
			candidates[i] = Candidate{ID: ids[i], DataCentre: "kano", Load: loads[i], Slots: 64, Order: order[i], Primary: i == primary}
			if times {
				candidates[i].Work = &Work{Waiting: waiting[i], Slowdown: slowdown[i]}
			}
		}
		if times {
			request.Times = Times{PerToken: perToken, FirstEvent: eventObjective, Pause: pauseObjective}
		}
		e := &engines[Choose(&timePolicy, &request, candidates).Index]
		pausedBefore := e.busyUntil > now && e.busyUntil.Sub(e.busySince) > pauseObjective
		done := e.prefill(now, tokens, e.slowdown(now))
		f.ending = append(f.ending, ending{at: done, entry: f.Begin(e.id, work.Amount{Prompt: tokens})})
		out.requests++
		if done.Sub(now) > eventObjective {
			out.firstEvents++
		}
		if !pausedBefore && done.Sub(e.busySince) > pauseObjective {
			out.pauses += streamsOfEngine
		}
	}
	return out
}

// clumpRate is the number of long prompts per millisecond: for a fifth of each second, five times as many as otherwise.
func clumpRate(now clock.Instant) float64 {
	if time.Duration(now)%time.Second < 200*time.Millisecond {
		return 0.1
	}
	return 0.02
}

// end removes the work that is done.
func (f *frontend) end(now clock.Instant) {
	kept := f.ending[:0]
	for _, e := range f.ending {
		if e.at > now {
			kept = append(kept, e)
			continue
		}
		e.entry.End()
	}
	f.ending = kept
}

// exchange passes sums and readings on between all routers.
func exchange(now clock.Instant, routers []*frontend) {
	for i, a := range routers {
		for j, b := range routers {
			if i == j {
				continue
			}
			b.Prompt.Report(now, routerID(i), "", a.Prompt.Local())
			b.Merge(now, a.Recent(now))
		}
	}
}

func routerID(i int) inflight.RouterID { return inflight.RouterID(fmt.Sprint(i)) }

// TestClumpsOfLongPromptsAreSpread replays what placement by load alone does badly: routers that do not know of each other's latest
// requests send long prompts to the same engines and to slow ones, and the streams there pause.
func TestClumpsOfLongPromptsAreSpread(t *testing.T) {
	c := qt.New(t)
	load, times := replayClumps(false), replayClumps(true)
	c.Logf("by load %+v, by times %+v", load, times)
	c.Assert(times.requests, qt.Equals, load.requests)
	c.Assert(2*times.pauses < load.pauses, qt.IsTrue, qt.Commentf("%d pauses, by load alone %d", times.pauses, load.pauses))
	c.Assert(2*times.firstEvents <= load.firstEvents, qt.IsTrue, qt.Commentf("%d late, by load alone %d", times.firstEvents, load.firstEvents))
}

// TestWorkCost covers the decisions between a cached prompt, a slow upstream and one with work.
func TestWorkCost(t *testing.T) {
	long := Request{
		DataCentre: "kano", SharedTokens: 10_500, PromptTokens: 11_800, Affinity: true,
		Times: Times{PerToken: perToken, FirstEvent: eventObjective, Pause: pauseObjective},
	}
	short := long
	short.SharedTokens, short.PromptTokens = 700, 830
	with := func(c Candidate, waiting settings.Tokens, slowdown float64) Candidate {
		c.Work = &Work{Waiting: waiting, Slowdown: slowdown}
		return c
	}
	tests := []struct {
		name       string
		request    Request
		candidates []Candidate
		chosen     settings.UpstreamID
	}{
		{"a long prompt goes to none that is slow", long,
			[]Candidate{with(candidate("a", 2, 0), 0, 2.1), with(candidate("b", 4, 0), 0, 1)}, "b"},
		{"a long prompt stays where it is cached, slow or not", long,
			[]Candidate{with(candidate("a", 2, 10_500), 0, 2.1), with(candidate("b", 2, 0), 0, 1)}, "a"},
		{"a long prompt stays where it is cached in a busy fleet", long,
			[]Candidate{with(candidate("a", 40, 10_500), 20_000, 1), with(candidate("b", 40, 0), 0, 1)}, "a"},
		{"two long prompts meet at none", long,
			[]Candidate{with(candidate("a", 2, 0), 12_000, 1), with(candidate("b", 6, 0), 0, 1)}, "b"},
		{"the least work counts if all have too much", long,
			[]Candidate{with(candidate("a", 2, 0), 90_000, 1), with(candidate("b", 4, 0), 50_000, 1)}, "b"},
		{"a short prompt stays beside a long one", short,
			[]Candidate{with(candidate("a", 4, 700), 9_000, 1), with(candidate("b", 4, 0), 0, 1)}, "a"},
		{"a short prompt leaves if it would be late", short,
			[]Candidate{with(candidate("a", 4, 700), 60_000, 1), with(candidate("b", 4, 0), 0, 1)}, "b"},
		{"nothing is known", long, []Candidate{candidate("a", 9, 0), candidate("b", 2, 0)}, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := Choose(&timePolicy, &tt.request, tt.candidates)
			qt.Assert(t, tt.candidates[got.Index].ID, qt.Equals, tt.chosen)
		})
	}
}
