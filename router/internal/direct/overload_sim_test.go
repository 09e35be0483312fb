package direct

import (
	"container/heap"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/backoff"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/cold"
	"rattantrack.dev/core/cost"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/fairshare"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/outlier"
	"rattantrack.dev/core/quarantine"
	"rattantrack.dev/core/ratelimit"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/retry"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/unresponsive"
	"rattantrack.dev/core/waiting"
	"rattantrack.dev/core/work"
)

// simClass is a kind of request. A prompt is a shared part that returns and an own one.
type simClass struct {
	rank                       int
	perSecond                  float64
	prompts                    int
	shared, own, events        settings.Tokens
	objective, pause, deadline time.Duration
	attempts                   int
	worth, lateWorth           float64
}

// Indices of simClasses.
const (
	summaries = iota
	questions
	tags
)

// simClasses is the demand of a fleet of 40 engines.
var simClasses = []simClass{
	{2, 52.2, 177, 10_000, 1300, 42, 1500 * time.Millisecond, 500 * time.Millisecond, 12 * time.Second, 2, 2.8, 2.1},
	{0, 146, 220, 700, 130, 32, 400 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second, 1, 2.9, 0.58},
	{1, 80.4, 182, 2000, 360, 3, 500 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 2, 0.59, 0.29},
}

const (
	simEngines = 40
	simRouters = 22
	simTeams   = 24
	// simCountsAge is how old the counts of other routers are on average; they come every simExchange.
	simCountsAge = 120 * time.Millisecond
	simExchange  = 60 * time.Millisecond
	simService   = settings.ServiceName("llm")
)

// simCapacity is the multiple of simClasses' demand at which all slots of the engines run if every shared part is cached.
func simCapacity() float64 {
	prefill, decode := 0.0, 0.0 // milliseconds of an engine in a second, steps of an engine in a second
	for _, c := range simClasses {
		prefill += c.perSecond * float64(c.own) / simPrefillRate / simEngines
		decode += c.perSecond * float64(c.events*simEventTokens) / simEngines
	}
	step := (simStep + simSlots*simStepRequest).Seconds()
	return simSlots / (decode*step + simSlots*prefill/1000)
}

// simPrompt is a prompt whose shared part returns.
type simPrompt struct {
	class *simClass
	block call.PromptBlock
	own   settings.Tokens
	home  int
}

// simTally sums up the requests of a class that were first sent in a tenth of a second.
type simTally struct {
	sent, onTime, late, refused, failed int
}

// simOutcome sums up tallies and what the requests are worth to their clients.
type simOutcome struct {
	simTally
	offered, worth float64
}

func (o simOutcome) servedShare() float64 { return float64(o.onTime+o.late) / float64(max(1, o.sent)) }
func (o simOutcome) worthShare() float64  { return o.worth / max(1e-9, o.offered) }

// String returns the number of requests and the shares that are served.
func (o simOutcome) String() string {
	return fmt.Sprintf("%d: %.3f, %.3f", o.sent, o.servedShare(), o.worthShare())
}

// outcome sums up the requests of classes that were first sent in a time.
func (s *overloadSim) outcome(from, to time.Duration, classes ...int) simOutcome {
	var o simOutcome
	for _, tallies := range s.tallies[from/simTenth : to/simTenth] {
		for _, i := range classes {
			t, class := tallies[i], &simClasses[i]
			o.sent += t.sent
			o.onTime += t.onTime
			o.late += t.late
			o.refused += t.refused
			o.failed += t.failed
			o.offered += class.worth * float64(t.sent)
			o.worth += class.worth*float64(t.onTime) + class.lateWorth*float64(t.late)
		}
	}
	return o
}

// simDemand is the demand of a team for a class as a multiple of the usual one.
type simDemand func(at time.Duration, class, team int) float64

// overloadSim plays demand on a fleet whose engines, prompts and demand are divided by scale. The number of routers stays, since it
// decides how many of them act on the same old counts. Routers decide as the dispatcher does, or by a naive rule: the hash of the prompt,
// bounded by the router's own counts, without refusals.
type overloadSim struct {
	scale   int
	rng     *rand.Rand
	now     clock.Instant
	pending simEvents
	arrived uint64
	engines []*simEngine
	routers []*simRouter
	ids     []settings.UpstreamID
	prompts [][]*simPrompt
	teams   []float64 // cumulative shares
	naive   bool
	demand  simDemand
	// readAgain is the number of shared tokens read though an engine had them; all are cached at the start.
	readAgain settings.Tokens
	lastOwn   call.PromptBlockID
	tallies   [][]simTally // by tenth of a second and class
	loads     []float64    // the mean load by tenth of a second
}

// Now returns the virtual time.
func (s *overloadSim) Now() clock.Instant { return s.now }

func (s *overloadSim) elapsed() time.Duration { return s.now.Sub(simStart) }

const (
	simStart = clock.Instant(time.Hour)
	simTenth = 100 * time.Millisecond
)

func newOverloadSim(seed uint64, scale int, naive bool, demand simDemand) *overloadSim {
	s := &overloadSim{
		rng: rand.New(rand.NewPCG(seed, 32)), now: simStart, scale: scale, naive: naive, demand: demand, lastOwn: 1 << 40,
	}
	var changes []members.Change
	for i := range simEngines / scale {
		id := settings.UpstreamID(fmt.Sprintf("e%02d", i))
		s.ids = append(s.ids, id)
		s.engines = append(s.engines, newSimEngine(s, i, id))
		changes = append(changes, members.Change{ID: id, Revision: 1, Instance: members.Instance{
			ID: id, Service: simService, Address: string(id), DataCentre: "dc", Slots: simSlots,
		}})
	}
	set, entries := rendezvous.New(s.ids), []affinity.CacheEntry(nil)
	for i := range simClasses {
		class := &simClasses[i]
		var list []*simPrompt
		for range class.prompts / scale {
			p := &simPrompt{class: class, own: class.own}
			p.block = call.PromptBlock{ID: call.PromptBlockID(s.rng.Uint64()), Tokens: class.shared}
			order := set.Order(uint64(p.block.ID))
			p.home = slices.Index(order, slices.Min(order))
			s.engines[p.home].store(p.block.ID, class.shared)
			entries = append(entries, affinity.CacheEntry{Block: p.block.ID, Upstream: s.ids[p.home]})
			list = append(list, p)
		}
		s.prompts = append(s.prompts, list)
	}
	sum := 0.0
	for i := range simTeams {
		sum += math.Pow(float64(i+1), -1.2)
		s.teams = append(s.teams, sum)
	}
	for range simRouters {
		r := &simRouter{own: make([]int, len(s.engines)), Dispatcher: &Dispatcher{
			DataCentre: "dc", Members: &members.Registry{}, InFlight: &inflight.Tracker{}, Affinity: &affinity.Index{},
			Outliers: &outlier.Detector{}, Unresponsive: &unresponsive.Detector{}, Queues: &waiting.Queues{}, Refusals: &waiting.Refusals{},
			RunTimes: &waiting.Durations{}, Residence: &waiting.Durations{}, Demand: &waiting.Demand{}, Placements: &waiting.Rates{},
			Backoff: &backoff.Tracker{}, Quarantine: &quarantine.Tracker{}, RateLimits: &ratelimit.Tracker{},
			Evacuations: &evacuation.Tracker{}, Costs: &cost.Estimator{}, Work: &work.Tracker{}, FairShare: &fairshare.Tracker{},
			Cold:         &cold.Tracker{Routers: func() ([]string, bool) { return nil, false }},
			ColdLimit:    func(settings.ServiceName) (time.Duration, float64) { return 0, 0 },
			KnownRouters: func() int { return simRouters },
			Budget:       &retry.FleetBudget{Limits: retry.Limits{Ratio: 0.2, Slack: 84 / float64(scale), Window: 10 * time.Second}},
			Clock:        s, Log: log.New(io.Discard), Scope: tally.NoopScope,
		}}
		r.Budget.RecordFleet(s.now, simRouters)
		r.Members.Replace(s.now, 1, changes)
		r.Affinity.Merge(s.now, entries)
		s.routers = append(s.routers, r)
	}
	return s
}

func (s *overloadSim) after(d time.Duration, run func()) {
	s.arrived++
	heap.Push(&s.pending, simEvent{s.now.Add(max(0, d)), s.arrived, run})
}

// run plays the demand up to end. Requests that were sent just before it are played to their ends.
func (s *overloadSim) run(end time.Duration) {
	s.tallies = make([][]simTally, end/simTenth+1)
	for i := range s.tallies {
		s.tallies[i] = make([]simTally, len(simClasses))
	}
	s.exchange()
	for i := range simClasses {
		for team := range simTeams {
			s.arrive(i, team, end)
		}
	}
	for len(s.pending) > 0 && s.elapsed() < end+2*time.Second {
		e := heap.Pop(&s.pending).(simEvent)
		s.now = e.at
		e.run()
	}
}

// arrive sends the requests of a team. Arrivals are drawn at the highest rate and thinned to the demand.
func (s *overloadSim) arrive(class, team int, end time.Duration) {
	share := s.teams[team]
	if team > 0 {
		share -= s.teams[team-1]
	}
	rate := simClasses[class].perSecond / float64(s.scale) * share / s.teams[simTeams-1]
	const most = 40.0
	var next func()
	next = func() {
		if s.elapsed() >= end {
			return
		}
		if s.rng.Float64()*most < s.demand(s.elapsed(), class, team) {
			s.send(class, team)
		}
		s.after(time.Duration(s.rng.ExpFloat64()/(rate*most)*float64(time.Second)), next)
	}
	s.after(time.Duration(s.rng.ExpFloat64()/(rate*most)*float64(time.Second)), next)
}

func (s *overloadSim) send(class, team int) {
	list := s.prompts[class]
	c := &simCall{sim: s, prompt: list[s.rng.IntN(len(list))], team: team, sent: s.now}
	s.tally(c).sent++
	c.begin()
}

func (s *overloadSim) tally(c *simCall) *simTally {
	at := min(int(c.sent.Sub(simStart)/simTenth), len(s.tallies)-1)
	for i := range simClasses {
		if c.prompt.class == &simClasses[i] {
			return &s.tallies[at][i]
		}
	}
	return nil
}

// exchange sends each router the sums of the counts of the others and the cache entries of the others, later.
func (s *overloadSim) exchange() {
	counts := make([]inflight.Counts, len(s.routers))
	sum := make(inflight.Counts)
	updates := make([][]affinity.CacheEntry, len(s.routers))
	for i, r := range s.routers {
		counts[i] = r.InFlight.Local()
		for id, n := range counts[i] {
			sum[id] += n
		}
		updates[i] = r.Affinity.TakeUpdates(s.now)
	}
	total := 0
	for _, r := range s.routers {
		for _, n := range r.own {
			total += n
		}
	}
	s.loads = append(s.loads, float64(total)/float64(len(s.engines)))
	s.after(simCountsAge-simExchange/2, func() {
		for i, r := range s.routers {
			others := make(inflight.Counts, len(sum))
			for id, n := range sum {
				others[id] = n - counts[i][id]
			}
			for j := range s.routers {
				if j != i {
					r.InFlight.Report(s.now, inflight.RouterID(fmt.Sprint(j)), "dc", nil)
					r.Affinity.Merge(s.now, updates[j])
				}
			}
			r.InFlight.ReportTotals(s.now, others)
		}
	})
	s.after(simExchange, s.exchange)
}

// simEvent is a function that runs at a virtual time.
type simEvent struct {
	at    clock.Instant
	order uint64
	run   func()
}

// simEvents orders events by time and implements heap.Interface.
type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
