package placement

import (
	"rattantrack.dev/core/settings"
)

// Candidate is an upstream that may get the request.
type Candidate struct {
	ID         settings.UpstreamID
	DataCentre settings.DataCentre
	// Load is the number of requests open at it over all routers, Slots how many it runs at a time.
	Load, Slots int
	// CachedTokens is the part of the prompt that it need not read again.
	CachedTokens settings.Tokens
	// RendezvousRank is its place in the rendezvous order of the request's key, 0 for the first.
	RendezvousRank int
	// Cold says that it has just started and is slow.
	Cold bool
	// Failed says that the request failed there before.
	Failed bool
	// Excluded says that the request must not go there: it found no connection there, or the upstream is ejected.
	Excluded bool
}

// Request is what the choice depends on.
type Request struct {
	DataCentre settings.DataCentre
	// SharedTokens is the part of the prompt that other requests may share.
	SharedTokens settings.Tokens
	// Affinity says that the upstreams cache prompts.
	Affinity bool
}

// Policy weighs load against reading prompts again. All costs are in open requests.
type Policy struct {
	// Multiple and Slack bound the load of one upstream: Multiple times the mean plus Slack.
	Multiple, Slack float64
	// LongMultiple and LongSlack hold instead where the upstream holds at least LongPrefix tokens of the prompt.
	LongMultiple, LongSlack float64
	LongPrefix              settings.Tokens
	// TokensPerRequest is the number of prompt tokens whose reading costs as much as one open request.
	TokensPerRequest settings.Tokens
	// NonPrimaryCost is the cost of leaving the first upstream in the rendezvous order, so that routers that know nothing of
	// a prompt choose alike.
	NonPrimaryCost float64
	// DistanceCost is the cost of another data centre, and ColdCost that of an upstream that has just started.
	DistanceCost, ColdCost float64
	// FailureCost is the cost of an upstream at which the request failed before: a long prompt that is cached there is
	// worth a second try at the same place.
	FailureCost float64
	// Overcommit is how many requests an upstream may hold for each of its slots.
	Overcommit float64
}

// Reason says why no upstream was chosen.
type Reason string

// The reasons of a choice.
const (
	Chosen Reason = "chosen"
	// NoUpstream says that no upstream may get the request.
	NoUpstream Reason = "no_upstream"
	// Full says that every upstream has as many requests as it may hold.
	Full Reason = "full"
)

// Choice is the result of Choose.
type Choice struct {
	Reason Reason
	// Index is the place of the chosen candidate.
	Index int
	// MeanLoad and LoadBound are the mean load and the bound on the chosen candidate.
	MeanLoad, LoadBound float64
	// Load and Held are those of the chosen candidate.
	Load         int
	CachedTokens settings.Tokens
	// CacheOwner is the candidate that holds most of the prompt, where that is not the chosen one; nil for none.
	CacheOwner *Candidate
}

// Choose returns the candidate with the least cost within the load bound. Two load patterns set the costs: sessions that
// return to a long prompt stay where it is cached until their upstream is near the bound, and bursts of short requests
// spread over the least loaded upstreams.
func Choose(p *Policy, r *Request, candidates []Candidate) Choice {
	sum, n := 0, 0
	for _, c := range candidates {
		sum += c.Load
		n++
	}
	if n == 0 {
		return Choice{Reason: NoUpstream}
	}
	choice := Choice{Reason: NoUpstream, MeanLoad: float64(sum) / float64(n)}
	best := 0.0
	var holder *Candidate
	for i := range candidates {
		c := &candidates[i]
		if c.CachedTokens > 0 && (holder == nil || c.CachedTokens > holder.CachedTokens) {
			holder = c
		}
		if c.Excluded {
			continue
		}
		if float64(c.Load+1) > p.Overcommit*float64(c.Slots) {
			if choice.Reason == NoUpstream {
				choice.Reason = Full
			}
			continue
		}
		cost := p.cost(r, c, choice.MeanLoad)
		if choice.Reason != Chosen || cost < best {
			choice.Reason, choice.Index, best = Chosen, i, cost
			choice.LoadBound = p.bound(r, c, choice.MeanLoad)
			choice.Load, choice.CachedTokens = c.Load, c.CachedTokens
		}
	}
	if holder != nil && holder.CachedTokens > choice.CachedTokens {
		choice.CacheOwner = holder
	}
	return choice
}

// overBound is added to the cost above the load bound: it outweighs every other cost, so that the bound is exceeded
// only where every candidate exceeds it, and then by the least loaded.
const overBound = 1e6

func (p *Policy) bound(r *Request, c *Candidate, mean float64) float64 {
	if r.Affinity && c.CachedTokens >= p.LongPrefix {
		return p.LongMultiple*mean + p.LongSlack
	}
	return p.Multiple*mean + p.Slack
}

func (p *Policy) cost(r *Request, c *Candidate, mean float64) float64 {
	cost := float64(c.Load)
	if float64(c.Load+1) > p.bound(r, c, mean) {
		return overBound + cost
	}
	if r.Affinity {
		cost += float64(max(0, r.SharedTokens-c.CachedTokens) / p.TokensPerRequest)
	}
	if c.RendezvousRank > 0 && c.CachedTokens < r.SharedTokens {
		cost += p.NonPrimaryCost
	}
	if c.DataCentre != r.DataCentre {
		cost += p.DistanceCost
	}
	if c.Failed {
		cost += p.FailureCost
	}
	if c.Cold {
		cost += p.ColdCost
	}
	return cost
}
