package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// policy has the same values as the router's policy for engines.
var policy = Policy{
	Multiple: 1.4, Slack: 2, LongMultiple: 1.75, LongSlack: 2.5, LongPrefix: 2000,
	TokensPerRequest: 300, NonPrimaryCost: 4, OrderCost: 3, DistanceCost: 0.25, ColdCost: 3, FailureCost: 12, Overcommit: 1,
	ExcessCost: 10, LoadScale: 20, Spill: 1, LongSpill: 0.75,
}

// TestRateLimitIsLeftToPromptsThatGainMost replays upstreams of which more is wanted than their rate limits allow: short prompts leave the
// one that caches them, long ones stay, and the load of limited upstreams does not lower the bound of the others.
func TestRateLimitIsLeftToPromptsThatGainMost(t *testing.T) {
	c := qt.New(t)
	limited := func(cached settings.Tokens) Candidate {
		l := candidate("limited", 1, cached)
		l.RateLimited, l.Wanted, l.Primary = true, 2, true
		return l
	}
	list := func(cached settings.Tokens) []Candidate {
		return []Candidate{limited(cached), candidate("a", 4, 0), candidate("b", 7, 0)}
	}
	short := Request{DataCentre: "kano", SharedTokens: 600, Affinity: true}
	long := Request{DataCentre: "kano", SharedTokens: 10_500, Affinity: true}
	got := Choose(&policy, &short, list(600))
	c.Assert(got.Index, qt.Equals, 1)
	c.Assert(got.MeanLoad, qt.Equals, 5.5)
	c.Assert(Choose(&policy, &long, list(10_500)).Index, qt.Equals, 0)
	onlyLimited := []Candidate{limited(0), limited(600)}
	c.Assert(Choose(&policy, &short, onlyLimited).MeanLoad, qt.Equals, 1.0)
}

func candidate(id string, load int, cached settings.Tokens) Candidate {
	return Candidate{ID: settings.UpstreamID(id), DataCentre: "kano", Load: load, Slots: 64, CachedTokens: cached}
}

func TestChoose(t *testing.T) {
	longPrompt := Request{DataCentre: "kano", SharedTokens: 10_500, Affinity: true}
	shortPrompt := Request{DataCentre: "kano", SharedTokens: 600, Affinity: true}
	excluded := candidate("b", 0, 10_500)
	excluded.Excluded = true
	failed := candidate("b", 4, 10_500)
	failed.Failed = true
	failedShort := candidate("b", 4, 600)
	failedShort.Failed = true
	limited := candidate("b", 0, 10_500)
	limited.RateLimited, limited.Refused = true, true
	full := candidate("a", 64, 0)
	tests := []struct {
		name       string
		request    Request
		candidates []Candidate
		want       Reason
		chosen     settings.UpstreamID
	}{
		{"no candidates", longPrompt, nil, NoUpstream, ""},
		{"a long prompt stays where it is cached", longPrompt,
			[]Candidate{candidate("a", 2, 0), candidate("b", 8, 10_500)}, Chosen, "b"},
		{"a short prompt leaves a loaded upstream", shortPrompt,
			[]Candidate{candidate("a", 2, 0), candidate("b", 8, 600)}, Chosen, "a"},
		{"a long prompt leaves an upstream above the bound", longPrompt,
			[]Candidate{
				candidate("a", 2, 0), candidate("c", 2, 0), candidate("d", 2, 0), candidate("e", 2, 0), candidate("b", 14, 10_500),
			}, Chosen, "a"},
		{"an excluded upstream gets nothing", longPrompt, []Candidate{candidate("a", 9, 0), excluded}, Chosen, "a"},
		{"only excluded ones", longPrompt, []Candidate{excluded}, NoUpstream, ""},
		{"a long prompt is tried again where it is cached", longPrompt, []Candidate{candidate("a", 4, 0), failed}, Chosen, "b"},
		{"a short prompt is tried elsewhere", shortPrompt, []Candidate{candidate("a", 4, 0), failedShort}, Chosen, "a"},
		{"a limited upstream gets nothing", longPrompt, []Candidate{candidate("a", 9, 0), limited}, Chosen, "a"},
		{"only limited ones", longPrompt, []Candidate{limited, excluded}, Full, ""},
		{"all are full", longPrompt, []Candidate{full, full}, Full, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got := Choose(&policy, &tt.request, tt.candidates)
			c.Assert(got.Reason, qt.Equals, tt.want)
			if tt.want == Chosen {
				c.Assert(tt.candidates[got.Index].ID, qt.Equals, tt.chosen)
			}
		})
	}
}

// TestHotPromptStaysWithinTheBound sends a fifth of all requests with the same long prompt. No upstream may have more open
// requests than twice the mean plus three, the limit that the operators set.
func TestHotPromptStaysWithinTheBound(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	const engines, openRequests, steps = 18, 110, 20_000
	cached := make([]map[int]bool, engines)
	loads := make([]int, engines)
	for i := range cached {
		cached[i] = make(map[int]bool)
	}
	var running []int
	prefills, violations := 0, 0
	for range steps {
		if len(running) >= openRequests {
			ended := r.IntN(len(running))
			loads[running[ended]]--
			running[ended] = running[len(running)-1]
			running = running[:len(running)-1]
		}
		prompt := r.IntN(76)
		if r.Float64() < 0.2 {
			prompt = 0
		}
		candidates := make([]Candidate, engines)
		for i := range candidates {
			candidates[i] = candidate(fmt.Sprint(i), loads[i], 0)
			if cached[i][prompt] {
				candidates[i].CachedTokens = 10_500
			}
		}
		choice := Choose(&policy, &Request{DataCentre: "kano", SharedTokens: 10_500, Affinity: true}, candidates)
		c.Assert(choice.Reason, qt.Equals, Chosen)
		if !cached[choice.Index][prompt] {
			prefills++
		}
		cached[choice.Index][prompt] = true
		loads[choice.Index]++
		running = append(running, choice.Index)
		if float64(loads[choice.Index]) > 2*float64(len(running))/engines+3 {
			violations++
		}
	}
	c.Assert(violations, qt.Equals, 0)
	// Each prompt is prefilled at least once, and the hot one at several engines.
	c.Assert(prefills < 10*76, qt.IsTrue, qt.Commentf("%d prefills", prefills))
}

// TestRoutersWithTheSameViewSpreadTheirRequests replays the start of the traffic at a hundred routers: prompts that no engine
// caches arrive at 1,200 a second, and all routers see the same loads, 150 ms old. No more than 3 in 100 requests may find an
// engine above twice the mean and three, the operators' limit.
func TestRoutersWithTheSameViewSpreadTheirRequests(t *testing.T) {
	c := qt.New(t)
	r := rand.New(rand.NewPCG(3, 4))
	const (
		engines, prompts   = 160, 800
		arrivals, duration = 180, 2 // requests in each step of 150 ms, and steps that a request takes
		steps              = 200
	)
	ids := make([]settings.UpstreamID, engines)
	for i := range ids {
		ids[i] = settings.UpstreamID(fmt.Sprintf("engine-%03d", i))
	}
	set := rendezvous.New(ids)
	loads, seen := make([]int, engines), make([]int, engines)
	var running [duration + 1][]int
	above, placed := 0, 0
	for step := range steps {
		copy(seen, loads)
		for _, i := range running[step%len(running)] {
			loads[i]--
		}
		running[step%len(running)] = nil
		for range arrivals {
			order := set.Order(r.Uint64N(prompts) * 0x9e3779b97f4a7c15)
			candidates := make([]Candidate, engines)
			primary := 0
			for i := range candidates {
				candidates[i] = Candidate{ID: ids[i], DataCentre: "kano", Load: seen[i], Slots: 24, Order: order[i]}
				if order[i] < order[primary] {
					primary = i
				}
			}
			candidates[primary].Primary = true
			choice := Choose(&policy, &Request{DataCentre: "kano", SharedTokens: 800, Affinity: true}, candidates)
			c.Assert(choice.Reason, qt.Equals, Chosen)
			mean := float64(arrivals*duration) / engines
			if float64(loads[choice.Index]) > 2*mean+3 {
				above++
			}
			placed++
			loads[choice.Index]++
			at := (step + duration) % len(running)
			running[at] = append(running[at], choice.Index)
		}
	}
	c.Assert(float64(above) < 0.03*float64(placed), qt.IsTrue, qt.Commentf("%d of %d", above, placed))
}

// TestIdleRateLimitedUpstreamDrawsNoHerd guards against routers that all send what is cached nowhere to a limited upstream, since it
// looks idle, in the moment in which its limit has room: 11 requests in a tenth of a second, at 3.6 a second.
func TestIdleRateLimitedUpstreamDrawsNoHerd(t *testing.T) {
	c := qt.New(t)
	drawn := 0
	const n = 200
	for i := range n {
		candidates := make([]Candidate, 10)
		for j := range candidates {
			candidates[j] = candidate(fmt.Sprint(j), 6, 0)
			candidates[j].Order = rand.Float64()
		}
		candidates[i%10].Load, candidates[i%10].RateLimited, candidates[i%10].Wanted = 0, true, 1
		request := Request{DataCentre: "kano", SharedTokens: 600, Affinity: true}
		if Choose(&policy, &request, candidates).Index == i%10 {
			drawn++
		}
	}
	c.Assert(drawn < n/5, qt.IsTrue, qt.Commentf("%d of %d requests chose the limited one of ten upstreams", drawn, n))
}

// TestOverloadedFleetKeepsPromptsWhereTheyAreCached guards against a collapse: once all engines are nearly full, a long prompt that took
// whichever engine has a slot would be prefilled there again, in place of the requests that the engine could have served.
func TestOverloadedFleetKeepsPromptsWhereTheyAreCached(t *testing.T) {
	long := Request{DataCentre: "kano", SharedTokens: 10_500, Affinity: true}
	short := Request{DataCentre: "kano", SharedTokens: 450, Affinity: true}
	engines := func(home, cached, others int) []Candidate {
		list := []Candidate{candidate("home", home, settings.Tokens(cached))}
		list[0].Primary = true
		for _, id := range []string{"a", "b", "c"} {
			list = append(list, candidate(id, others, 0))
		}
		return list
	}
	tests := []struct {
		name       string
		request    Request
		candidates []Candidate
		want       Reason
		chosen     int
	}{
		{"a slot elsewhere does not draw a long prompt", long, engines(64, 10_500, 60), Full, 0},
		{"differences of some requests do not draw a short one", short, engines(63, 450, 50), Chosen, 0},
		{"a short prompt takes a free slot while its engine is full", short, engines(64, 450, 63), Chosen, 1},
		{"a short prompt waits if there is none", short, engines(64, 450, 64), Full, 0},
		{"a refused engine does not hold requests back", long, append(engines(62, 10_500, 62), Candidate{ID: "cold", Slots: 64, Refused: true}), Chosen, 0},
		{"room to spare draws a long prompt from a full engine", long, engines(64, 10_500, 47), Chosen, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got := Choose(&policy, &tt.request, tt.candidates)
			c.Assert(got.Reason, qt.Equals, tt.want)
			c.Assert(got.Index, qt.Equals, tt.chosen)
		})
	}
}
