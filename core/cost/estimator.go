package cost

import (
	"math"
	"sync"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Request holds what is known of a request before it is sent.
type Request struct {
	Route settings.RouteName
	Team  settings.TeamID
	// PromptTokens is the size of its prompt. MaxTokens is the largest, ExpectedTokens the expected size of its answer, 0 if not stated.
	PromptTokens, MaxTokens, ExpectedTokens settings.Tokens
}

// Events is a number of stream events. Upstreams put several tokens into one event and do not state how many.
type Events float64

// Basis tells where an estimate comes from.
type Basis string

// The bases of an estimate, from the weakest to the strongest.
const (
	BasisDefault Basis = "default"
	BasisClient  Basis = "client"
	BasisRoute   Basis = "route"
	BasisTeam    Basis = "team"
)

// Estimate is the expected output of a request. The logarithm of the output is taken as normally distributed.
type Estimate struct {
	// Median is the number of events that half of such requests exceed, High the one that a tenth exceeds.
	Median, High Events
	Basis        Basis
}

// Limits and initial values of the estimates.
const (
	// defaultEvents and defaultSpread describe a request of which nothing is known.
	defaultEvents = 16
	defaultSpread = 1.2
	// clientSpread is how far clients' estimates are taken to be off until that is known.
	clientSpread = 1.0
	// defaultTokensPerEvent applies until it is known.
	defaultTokensPerEvent = 1
	// minCount is the number of observations from which on a distribution is used.
	minCount = 8
	// maxDistributions bounds the distributions of teams and those of routes, each to about 3 KB.
	maxDistributions = 256
	// minSpread keeps a distribution of equal observations from outweighing everything else.
	minSpread = 0.05
	// upperDecile is the quantile of High in standard deviations.
	upperDecile = 1.2816
)

// sizeClass is a class of prompt sizes, each four times as large as the one before.
type sizeClass uint8

func sizeClassOf(tokens settings.Tokens) sizeClass {
	return sizeClass(math.Log2(float64(max(1, tokens))) / 2)
}

type teamKey struct {
	route settings.RouteName
	team  settings.TeamID
	size  sizeClass
}

type routeKey struct {
	route settings.RouteName
	size  sizeClass
}

// distribution is the distribution of the logarithm of the output.
type distribution struct {
	sketch
	used clock.Instant
	// teams is the number of teams that have a distribution of their own below this one. given is the weight that this one, of a team,
	// has added to that of its route.
	teams int
	given decaying
}

// Estimator learns the output of requests by route, team and size of the prompt. The zero value is empty and ready to use.
type Estimator struct {
	mu     sync.Mutex
	teams  map[teamKey]*distribution
	routes map[routeKey]*distribution
	// hints holds, by route, the distribution of the logarithm of the tokens stated by the client for each event received.
	hints map[settings.RouteName]*distribution
	// errors is the distribution of the logarithm of actual to estimated output.
	errors sketch
}

// Estimate returns the expected output of a request. The client's statement and the observed distribution each count by their
// precision.
func (e *Estimator) Estimate(now clock.Instant, r Request) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.estimate(now, r)
}

func (e *Estimator) estimate(now clock.Instant, r Request) Estimate {
	mean, spread, basis := e.observed(now, r)
	perEvent, hintSpread := e.tokensPerEvent(now, r.Route)
	if r.ExpectedTokens > 0 {
		hint := math.Log(float64(r.ExpectedTokens)) - perEvent
		if basis == BasisDefault {
			mean, spread, basis = hint, hintSpread, BasisClient
		} else {
			observed, stated := 1/(spread*spread), 1/(hintSpread*hintSpread)
			mean = (mean*observed + hint*stated) / (observed + stated)
			spread = 1 / math.Sqrt(observed+stated)
		}
	}
	limit := math.Inf(1)
	if r.MaxTokens > 0 {
		limit = max(1, float64(r.MaxTokens)/math.Exp(perEvent))
	}
	return Estimate{
		Median: Events(min(limit, max(1, math.Exp(mean)))),
		High:   Events(min(limit, max(1, math.Exp(mean+upperDecile*spread)))),
		Basis:  basis,
	}
}

// observed returns the median and the spread of the closest distribution with enough observations.
func (e *Estimator) observed(now clock.Instant, r Request) (mean, spread float64, basis Basis) {
	size := sizeClassOf(r.PromptTokens)
	if d := e.teams[teamKey{r.Route, r.Team, size}]; d != nil && d.count(now) >= minCount {
		d.used = now
		return d.quantile(0.5), max(minSpread, d.spread()), BasisTeam
	}
	if d := e.routes[routeKey{r.Route, size}]; d != nil && d.count(now) >= minCount {
		d.used = now
		return d.quantile(0.5), max(minSpread, d.spread()), BasisRoute
	}
	return math.Log(defaultEvents), defaultSpread, BasisDefault
}

// tokensPerEvent returns the logarithm of the tokens that clients state for each event, and its spread.
func (e *Estimator) tokensPerEvent(now clock.Instant, route settings.RouteName) (mean, spread float64) {
	if d := e.hints[route]; d != nil && d.count(now) >= minCount {
		return d.quantile(0.5), max(minSpread, d.spread())
	}
	return math.Log(defaultTokensPerEvent), clientSpread
}

// Record records the output of a request that ran to its end, and returns the ratio of it to the estimate made before.
func (e *Estimator) Record(now clock.Instant, r Request, events int) float64 {
	if events <= 0 {
		return 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ratio := float64(events) / float64(e.estimate(now, r).Median)
	e.errors.add(now, math.Log(ratio), 1)
	size, x := sizeClassOf(r.PromptTokens), math.Log(float64(events))
	route := get(&e.routes, routeKey{r.Route, size}, now)
	team, known := e.teams[teamKey{r.Route, r.Team, size}]
	if !known {
		team = get(&e.teams, teamKey{r.Route, r.Team, size}, now)
		route.teams++
	}
	team.used = now
	team.add(now, x, 1)
	// A team with more than its part of the requests counts in the route's distribution as if it had just its part.
	part := max(minCount, route.count(now)/float64(max(1, route.teams)))
	if weight := min(1, part-team.given.at(now)); weight > 0 {
		team.given.add(now, weight)
		route.add(now, x, weight)
	}
	if r.ExpectedTokens > 0 {
		get(&e.hints, r.Route, now).add(now, math.Log(float64(r.ExpectedTokens))-x, 1)
	}
	return ratio
}

// get returns the distribution for a key and adds it if it is new, in place of the one that was not used for the longest time if
// there are too many.
func get[K comparable](m *map[K]*distribution, key K, now clock.Instant) *distribution {
	if d := (*m)[key]; d != nil {
		d.used = now
		return d
	}
	if *m == nil {
		*m = make(map[K]*distribution)
	}
	if len(*m) >= maxDistributions {
		var oldest K
		found := false
		for k, d := range *m {
			if !found || d.used < (*m)[oldest].used {
				oldest, found = k, true
			}
		}
		delete(*m, oldest)
	}
	d := &distribution{used: now}
	(*m)[key] = d
	return d
}

// Accuracy describes the errors of the estimates.
type Accuracy struct {
	// Requests is the number of estimates, each counted by its age. Bias is the median of actual to estimated output; Spread is the
	// factor within which two thirds of the outputs lie around it.
	Requests, Bias, Spread float64
	// Distributions is the number of distributions of teams and routes.
	Distributions int
}

// Accuracy returns the errors of the latest estimates.
func (e *Estimator) Accuracy(now clock.Instant) Accuracy {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := Accuracy{Requests: e.errors.count(now), Bias: 1, Spread: 1, Distributions: len(e.teams) + len(e.routes)}
	if e.errors.digest != nil {
		a.Bias, a.Spread = math.Exp(e.errors.quantile(0.5)), math.Exp(e.errors.spread())
	}
	return a
}
