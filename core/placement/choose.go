package placement

import (
	"rattantrack.dev/core/settings"
)

// Candidate is an upstream that the request may be sent to.
type Candidate struct {
	ID         settings.UpstreamID
	DataCentre settings.DataCentre
	// Load is the number of requests that all routers have open at the upstream; Slots is how many it runs at a time.
	Load, Slots int
	// CachedTokens is the number of leading prompt tokens that the upstream has cached.
	CachedTokens settings.Tokens
	// Primary means that the upstream is the first in the rendezvous order for the prompt.
	Primary bool
	// Order is a number in [0, 1) by which the upstreams are ordered for the prompt, the same at all routers.
	Order float64
	// Cold means that the upstream has just started and is still slow.
	Cold bool
	// Failed means that the request failed at this upstream before.
	Failed bool
	// RateLimited means that the upstream has named a rate limit, Refused that this, or the rate that it bears while it is cold, allows it
	// no further request now. Wanted is the rate
	// of the requests that are meant for the upstream as a multiple of the limit.
	RateLimited, Refused bool
	Wanted               float64
	// Excluded means that the request must not be sent there, for example because the upstream is ejected or was unreachable.
	Excluded bool
	// Work is the work and the speed of the upstream, nil if that is not known.
	Work *Work
}

// Request describes the request to place.
type Request struct {
	DataCentre settings.DataCentre
	// SharedTokens is the number of leading prompt tokens that other requests may share.
	SharedTokens settings.Tokens
	// Affinity means that the upstreams cache prompts.
	Affinity bool
	// PromptTokens is the size of the prompt. Times describes how long it takes. Both count with Candidate.Work only.
	PromptTokens settings.Tokens
	Times        Times
	// Overcommit is the number of requests that an upstream may have open for each of its slots, with this one; 0 for that of the policy.
	Overcommit float64
}

// Policy weighs the load of upstreams against the work of prefilling a prompt again. Costs are in units of one open request.
type Policy struct {
	// Multiple and Slack define the load bound of an upstream: Multiple times the mean load plus Slack.
	Multiple, Slack float64
	// LongMultiple and LongSlack apply instead if the upstream has at least LongPrefix tokens of the prompt cached.
	LongMultiple, LongSlack float64
	LongPrefix              settings.Tokens
	// TokensPerRequest is the number of prompt tokens whose prefill costs as much as one open request.
	TokensPerRequest settings.Tokens
	// NonPrimaryCost is the cost of an upstream other than the primary that lacks some of the shared tokens. It makes
	// routers without information about a prompt choose the same upstream.
	NonPrimaryCost float64
	// OrderCost is the cost of the last upstream in the order for the prompt or, without a prompt, for the request. It makes
	// routers that see the same loads at the same time choose different upstreams for different prompts.
	OrderCost float64
	// DistanceCost is the cost of an upstream in another data centre, ColdCost that of one that has just started.
	DistanceCost, ColdCost float64
	// ExcessCost is the cost of an upstream of which twice as much is wanted as its rate limit allows. It leaves the limit to the
	// requests for which the upstream is worth most, such as those with long prompts that it has cached.
	ExcessCost float64
	// FailureCost is the cost of an upstream at which the request failed before. A long prompt cached there can outweigh
	// it, so that the request is sent there again.
	FailureCost float64
	// LateCost is the cost of a time of one objective more than is tolerable, for the request itself and for each stream that pauses
	// because of it.
	LateCost float64
	// SpreadCost is the cost of the last upstream in the order for the prompt as a share of the cost of prefilling the shared tokens that
	// it lacks. It makes routers choose different upstreams for different prompts that no upstream has cached, since what another router
	// has just sent is not known yet.
	SpreadCost float64
	// Overcommit is the number of open requests that an upstream may have for each of its slots.
	Overcommit float64
	// LoadScale is the mean load above which loads count relative to the mean, 0 for never. In a busy fleet all loads are high, and the
	// differences between them are no reason to prefill a prompt again.
	LoadScale float64
	// Spill is the number of open requests for each slot up to which an upstream takes requests whose cheapest upstream is full. LongSpill
	// applies instead if it would have to prefill LongPrefix tokens or more. Where no upstream has so few, the request waits: moved to
	// whichever upstream has a slot, its prompt would displace those of others.
	Spill, LongSpill float64
}

// Reason is the result code of a choice.
type Reason string

// The result codes of Choose.
const (
	// Chosen means that a candidate was chosen.
	Chosen Reason = "chosen"
	// NoUpstream means that there is no candidate or that all are excluded.
	NoUpstream Reason = "no_upstream"
	// Full means that the cheapest candidate has as many open requests as it may and no other one has room to spare, or that all are refused.
	Full Reason = "full"
)

// Choice is the result of Choose.
type Choice struct {
	Reason Reason
	// Index is the index in the list of the chosen candidate or, with Full, of the cheapest one.
	Index int
	// MeanLoad is the mean load of all candidates; LoadBound is the load bound of that one.
	MeanLoad, LoadBound float64
	// Load and CachedTokens are those of that candidate.
	Load         int
	CachedTokens settings.Tokens
	// Work is that of the chosen candidate, nil if it is not known.
	Work *Work
	// CacheOwner is the candidate with the most cached tokens of the prompt if it has more than the chosen one, else nil.
	CacheOwner *Candidate
}

// Choose returns the candidate with the lowest cost within its load bound. The costs serve four load patterns: sessions that
// return to a long prompt stay at the upstream that caches it until its load is near the bound, bursts of short requests are
// distributed over the least loaded upstreams, many routers that place requests at the same moment do not all choose the
// upstream that is the least loaded for all of them, and in an overloaded fleet prompts keep their upstreams, so that these do not
// prefill them again in place of serving requests.
func Choose(p *Policy, r *Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return Choice{Reason: NoUpstream}
	}
	choice := Choice{Reason: NoUpstream, MeanLoad: meanLoad(candidates)}
	cheapest, spill := lowest{index: -1}, lowest{index: -1}
	var owner *Candidate
	for i := range candidates {
		c := &candidates[i]
		if c.CachedTokens > 0 && (owner == nil || c.CachedTokens > owner.CachedTokens) {
			owner = c
		}
		if c.Excluded {
			continue
		}
		if c.Refused {
			choice.Reason = Full
			continue
		}
		cost := p.cost(r, c, choice.MeanLoad)
		cheapest.offer(i, cost)
		if float64(c.Load+1) <= min(p.spill(r, c), p.overcommit(r))*float64(c.Slots) {
			spill.offer(i, cost)
		}
	}
	if cheapest.index < 0 {
		return choice
	}
	choice.Reason, choice.Index = Chosen, cheapest.index
	if c := &candidates[cheapest.index]; float64(c.Load+1) > p.overcommit(r)*float64(c.Slots) {
		choice.Reason = Full
		if spill.index >= 0 {
			choice.Reason, choice.Index = Chosen, spill.index
		}
	}
	c := &candidates[choice.Index]
	choice.LoadBound = p.loadBound(r, c, choice.MeanLoad)
	choice.Load, choice.CachedTokens, choice.Work = c.Load, c.CachedTokens, c.Work
	if owner != nil && owner.CachedTokens > choice.CachedTokens {
		choice.CacheOwner = owner
	}
	return choice
}

// lowest is the candidate with the lowest cost so far; index is -1 for none.
type lowest struct {
	index int
	cost  float64
}

func (l *lowest) offer(i int, cost float64) {
	if l.index < 0 || cost < l.cost {
		l.index, l.cost = i, cost
	}
}

// overcommit returns the number of requests that an upstream may have open for each of its slots.
func (p *Policy) overcommit(r *Request) float64 {
	if r.Overcommit > 0 {
		return r.Overcommit
	}
	return p.Overcommit
}

// spill returns the number of open requests for each slot up to which the candidate takes the request from a full one.
func (p *Policy) spill(r *Request, c *Candidate) float64 {
	if r.Affinity && r.SharedTokens-c.CachedTokens >= p.LongPrefix {
		return p.LongSpill
	}
	return p.Spill
}

// meanLoad returns the mean load of the candidates. Those with rate limits hold little, whatever the others do; they count only if all
// have limits.
func meanLoad(candidates []Candidate) float64 {
	total, n, limitedTotal := 0, 0, 0
	for _, c := range candidates {
		if c.RateLimited {
			limitedTotal += c.Load
			continue
		}
		total += c.Load
		n++
	}
	if n == 0 {
		return float64(limitedTotal) / float64(len(candidates))
	}
	return float64(total) / float64(n)
}

// limitedLoadShare is the largest share of its slots that an upstream with a rate limit counts as loaded if it is not.
const limitedLoadShare = 0.25

// overBoundPenalty is the penalty of a candidate above its load bound. It outweighs every other cost, so such a candidate is
// chosen only if all are above their bounds, and then it is the least loaded one.
const overBoundPenalty = 1e6

func (p *Policy) loadBound(r *Request, c *Candidate, mean float64) float64 {
	if r.Affinity && c.CachedTokens >= p.LongPrefix {
		return p.LongMultiple*mean + p.LongSlack
	}
	return p.Multiple*mean + p.Slack
}

func (p *Policy) cost(r *Request, c *Candidate, mean float64) float64 {
	cost := float64(c.Load)
	if c.RateLimited {
		// A limit keeps the load low. If that made the upstream cheap, all routers would choose it whenever its limit has room. Where the
		// others are loaded that much, more is wanted all the time, and the limit is used to the full.
		cost = max(cost, min(mean, limitedLoadShare*float64(c.Slots)))
	}
	if p.LoadScale > 0 && mean > p.LoadScale {
		cost *= p.LoadScale / mean
	}
	cached := r.SharedTokens > 0 && c.CachedTokens >= r.SharedTokens
	if !cached {
		cost += p.OrderCost * c.Order
	}
	if float64(c.Load+1) > p.loadBound(r, c, mean) {
		return overBoundPenalty + cost
	}
	if r.Affinity {
		cost += float64(max(0, r.SharedTokens-c.CachedTokens) / p.TokensPerRequest)
	}
	cost += p.workCost(r, c, mean)
	if r.SharedTokens > 0 && !c.Primary && !cached {
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
	return cost + p.ExcessCost*max(0, c.Wanted-1)
}
