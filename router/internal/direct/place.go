package direct

import (
	"slices"

	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/placement"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// tried is what a request has met at the upstreams.
type tried struct {
	// unusable are those that it did not reach, that refused it or that stood still.
	unusable []settings.UpstreamID
	// failed are those that ran it and failed once.
	failed []settings.UpstreamID
}

// note takes in the ending of an attempt.
func (t *tried) note(id settings.UpstreamID, ending attempt.Ending, stalled bool) {
	switch ending {
	case attempt.NotSent, attempt.Refused:
		t.unusable = append(t.unusable, id)
	case attempt.Failed, attempt.Lost, attempt.Cut:
		if stalled || slices.Contains(t.failed, id) {
			t.unusable = append(t.unusable, id)
			return
		}
		t.failed = append(t.failed, id)
	}
}

// enginePolicy places requests whose prompts the upstreams cache.
var enginePolicy = placement.Policy{
	// The fleet's bound on one upstream is twice the mean and three requests more. Counts of other routers are some
	// hundred milliseconds old, so the bounds here are lower; a long cached prompt is worth more of the room.
	Multiple: 1.4, Slack: 2,
	LongMultiple: 1.75, LongSlack: 2.5,
	LongPrefix: 2000,
	// Reading 300 tokens takes an engine as long as a few steps of a batch with one request more.
	TokensPerRequest: 300,
	NonPrimaryCost:   2,
	DistanceCost:     0.25,
	ColdCost:         3,
	FailureCost:      12,
	Overcommit:       1,
}

// plainPolicy places requests of services without a cache, which answer in tens of milliseconds.
var plainPolicy = placement.Policy{
	Multiple: 1.6, Slack: 2,
	DistanceCost: 0.9,
	ColdCost:     2,
	FailureCost:  1000,
	// A request that waits at the upstream behind one other for each slot is still on time.
	Overcommit: 2,
}

// place chooses the upstream of an attempt.
func (d *Dispatcher) place(now clock.Instant, r *Request, t *tried) (members.Instance, placement.Choice) {
	serving := d.Members.Serving(r.Service)
	if len(serving) == 0 {
		return members.Instance{}, placement.Choice{Reason: placement.NoUpstream}
	}
	ids := make([]settings.UpstreamID, len(serving))
	for i := range serving {
		ids[i] = serving[i].ID
	}
	candidates := d.candidates(now, r, serving, ids)
	for i := range candidates {
		candidates[i].Excluded = candidates[i].Excluded || slices.Contains(t.unusable, ids[i])
		candidates[i].Failed = slices.Contains(t.failed, ids[i])
	}
	policy := &plainPolicy
	if r.RouteConfig.Affinity {
		policy = &enginePolicy
	}
	request := &placement.Request{DataCentre: d.DataCentre, SharedTokens: r.SharedTokens(), Affinity: r.RouteConfig.Affinity}
	choice := placement.Choose(policy, request, candidates)
	if choice.Reason != placement.Chosen {
		return members.Instance{}, choice
	}
	return serving[choice.Index], choice
}

func (d *Dispatcher) candidates(now clock.Instant, r *Request, serving []members.Instance, ids []settings.UpstreamID) []placement.Candidate {
	loads := d.InFlight.Loads(now, ids)
	excluded := d.excluded(now, ids)
	var held []settings.Tokens
	ranks := make([]int, len(ids))
	if r.RouteConfig.Affinity {
		held = d.Affinity.CachedTokens(now, r.sharedParts(), ids)
		ranks = d.ranks(r, ids)
	}
	candidates := make([]placement.Candidate, len(serving))
	for i := range serving {
		candidates[i] = placement.Candidate{
			ID:             ids[i],
			DataCentre:     serving[i].DataCentre,
			Load:           loads[i],
			Slots:          serving[i].Slots,
			RendezvousRank: ranks[i],
			Cold:           serving[i].ColdRemaining > 0 && d.Members.ColdRemaining(now, ids[i]) > 0,
			Excluded:       excluded[i],
		}
		if held != nil {
			candidates[i].CachedTokens = held[i]
		}
	}
	return candidates
}

// excluded reports, for each upstream, whether it should get no requests now: it fails more than others, or it answers
// nothing. Where that leaves none, only silence counts, which never leaves out more than half of them.
func (d *Dispatcher) excluded(now clock.Instant, ids []settings.UpstreamID) []bool {
	silent := d.Unresponsive.Unresponsive(now, ids)
	excluded := d.Outliers.Ejected(now, ids)
	for i := range excluded {
		excluded[i] = excluded[i] || silent[i]
	}
	if !slices.Contains(excluded, false) {
		return silent
	}
	return excluded
}

// sharedParts returns the parts of the prompt that other requests may share.
func (r *Request) sharedParts() []call.PromptBlock {
	return r.PromptBlocks[:max(0, len(r.PromptBlocks)-1)]
}

// ranks returns the place of each upstream in the rendezvous order of the longest shared part: 0 for the first, 1 for
// all others.
func (d *Dispatcher) ranks(r *Request, ids []settings.UpstreamID) []int {
	ranks := make([]int, len(ids))
	parts := r.sharedParts()
	if len(parts) == 0 {
		return ranks
	}
	home, ok := rendezvous.New(ids).Home(uint64(parts[len(parts)-1].ID))
	for i, id := range ids {
		if !ok || id != home {
			ranks[i] = 1
		}
	}
	return ranks
}
