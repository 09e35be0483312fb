package direct

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/placement"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/waiting"
)

// triedUpstreams holds the upstreams at which earlier attempts of a request did not succeed.
type triedUpstreams struct {
	// unusable holds those that get no further attempt: they were not reached, refused the request, stalled or failed twice.
	unusable []settings.UpstreamID
	// failed holds those that may have run the request and failed once.
	failed []settings.UpstreamID
}

// record adds the ending of an attempt.
func (t *triedUpstreams) record(id settings.UpstreamID, ending attempt.Ending, stalled bool) {
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

// has reports whether an upstream has had the request before.
func (t *triedUpstreams) has(id settings.UpstreamID) bool {
	return slices.Contains(t.failed, id) || slices.Contains(t.unusable, id)
}

// enginePolicy places requests whose prompts the upstreams cache.
var enginePolicy = placement.Policy{
	// The fleet's load bound for one upstream is twice the mean plus three requests. The counts of other routers are some
	// hundred milliseconds old, so the bounds here are lower. An upstream that caches a long prompt gets a higher bound.
	Multiple: 1.4, Slack: 2,
	LongMultiple: 1.75, LongSlack: 2.5,
	LongPrefix: 2000,
	// Processing 300 prompt tokens takes an engine as long as a few steps of a batch with one more request.
	TokensPerRequest: 300,
	NonPrimaryCost:   4,
	OrderCost:        3,
	DistanceCost:     0.25,
	ColdCost:         3,
	ExcessCost:       10,
	FailureCost:      12,
	LateCost:         30,
	SpreadCost:       0.5,
	// The queue of an engine is bounded by time (waiting.Overcommit). This bound keeps it from refusing requests if the estimate is wrong.
	Overcommit: 3,
	LoadScale:  20,
	Spill:      0.75,
}

// plainPolicy places requests of services without a cache, which respond in tens of milliseconds.
var plainPolicy = placement.Policy{
	Multiple: 1.6, Slack: 2,
	DistanceCost: 0.9,
	OrderCost:    0.5,
	ColdCost:     2,
	ExcessCost:   10,
	FailureCost:  1000,
	// With one request waiting per slot at the upstream, responses are still on time.
	Overcommit: 2,
	// Without a cache, any upstream with room will do.
	Spill: 1e3,
}

// Run times that are assumed before any has been measured.
const (
	unmeasuredEngineRun = time.Second
	unmeasuredPlainRun  = 50 * time.Millisecond
)

// runTime returns how long an upstream works on a request of the service.
func (d *Dispatcher) runTime(r *Request) time.Duration {
	if r.RouteConfig.Affinity {
		return d.RunTimes.Mean(r.Service, unmeasuredEngineRun)
	}
	return d.RunTimes.Mean(r.Service, unmeasuredPlainRun)
}

// reserve chooses the upstream of an attempt and counts the request as open there. Both are one step, so that requests that
// arrive together do not all choose the same upstream.
func (d *Dispatcher) reserve(now clock.Instant, r *Request, tried *triedUpstreams) (members.Instance, placement.Choice) {
	d.reserving.Lock()
	defer d.reserving.Unlock()
	known := d.KnownRouters()
	var refused []settings.UpstreamID
	for {
		inst, choice := d.place(now, r, tried, refused)
		if choice.Reason != placement.Chosen {
			return inst, choice
		}
		if d.RateLimits.Admit(now, inst.ID, known) {
			if _, rate := d.ColdLimit(inst.Service); rate > 0 {
				d.Cold.Begin(now, inst.ID)
			}
			d.InFlight.Begin(inst.ID)
			return inst, choice
		}
		refused = append(refused, inst.ID)
	}
}

// place chooses the upstream of an attempt. refused holds those whose rate limits do not allow the attempt.
func (d *Dispatcher) place(
	now clock.Instant, r *Request, tried *triedUpstreams, refused []settings.UpstreamID,
) (members.Instance, placement.Choice) {
	serving := d.serving(r.Service)
	if len(serving) == 0 {
		return members.Instance{}, placement.Choice{Reason: placement.NoUpstream}
	}
	ids := make([]settings.UpstreamID, len(serving))
	for i := range serving {
		ids[i] = serving[i].ID
	}
	candidates := d.candidates(now, r, serving, ids)
	for i := range candidates {
		candidates[i].Excluded = candidates[i].Excluded || slices.Contains(tried.unusable, ids[i])
		candidates[i].Failed = slices.Contains(tried.failed, ids[i])
		candidates[i].Refused = candidates[i].Refused || slices.Contains(refused, ids[i])
	}
	policy := &plainPolicy
	if r.RouteConfig.Affinity {
		policy = &enginePolicy
	}
	request := &placement.Request{
		DataCentre: d.DataCentre, SharedTokens: r.SharedTokens(), Affinity: r.RouteConfig.Affinity,
		Overcommit: min(policy.Overcommit, waiting.Overcommit(d.runTime(r), d.Demand.QueueTime(now, r.Service, r.Rank))),
	}
	d.addWork(now, r, request, candidates, ids)
	choice := placement.Choose(policy, request, candidates)
	if choice.Reason == placement.Chosen && r.RouteConfig.Affinity &&
		!d.takesPart(now, r, request, &candidates[choice.Index], len(candidates)) {
		choice.Reason = placement.Full
	}
	if choice.Reason != placement.Chosen {
		return members.Instance{}, choice
	}
	return serving[choice.Index], choice
}

// exchangeAge is how old the counts of other routers are when they arrive.
const exchangeAge = 80 * time.Millisecond

// takesPart reports whether a request is among those that may use the room of the chosen engine. Other routers see the same room. The
// counts of plain services are older than their requests last, so they say nothing about a single slot.
func (d *Dispatcher) takesPart(
	now clock.Instant, r *Request, request *placement.Request, c *placement.Candidate, candidates int,
) bool {
	wanted := d.Placements.Record(now, r.Service)
	routers := d.routerCount(now)
	if routers <= 1 {
		return true
	}
	room := waiting.Room{
		Load: float64(c.Load), Limit: request.Overcommit * float64(c.Slots),
		Residence: d.Residence.Mean(r.Service, d.runTime(r)), Age: d.InFlight.Age(now) + exchangeAge,
		Wanted: wanted * float64(routers) / float64(candidates),
	}
	h := xxhash.New()
	_, _ = h.WriteString(string(r.ID))
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(now)))
	return float64(h.Sum64()>>11)/(1<<53) < room.Share()
}

func (d *Dispatcher) candidates(
	now clock.Instant, r *Request, serving []members.Instance, ids []settings.UpstreamID,
) []placement.Candidate {
	loads := d.InFlight.Expected(now, ids, d.Residence.Mean(r.Service, d.runTime(r)))
	barred, _ := d.Backoff.Paused(now, serving)
	for i := range serving {
		barred[i] = barred[i] || r.isOther(serving[i])
	}
	excluded := d.excluded(now, ids, barred)
	limited, wanted := d.RateLimits.Limited(now, ids, d.KnownRouters())
	var cachedTokens []settings.Tokens
	order := rendezvous.New(ids).Order(r.orderKey())
	primary := 0
	for i := range order {
		if order[i] < order[primary] {
			primary = i
		}
	}
	if r.RouteConfig.Affinity {
		cachedTokens = d.Affinity.CachedTokens(now, r.sharedBlocks(), ids)
	}
	candidates := make([]placement.Candidate, len(serving))
	coldTime, coldRate := d.ColdLimit(r.Service)
	for i := range serving {
		isCold := serving[i].ColdRemaining > 0 && d.Members.ColdRemaining(now, ids[i]) > 0 ||
			coldRate > 0 && d.Evacuations.TakenBackWithin(now, serving[i].DataCentre, coldTime)
		candidates[i] = placement.Candidate{
			ID:          ids[i],
			DataCentre:  serving[i].DataCentre,
			Load:        loads[i],
			Slots:       serving[i].Slots,
			Primary:     i == primary,
			Order:       order[i],
			Cold:        isCold,
			Refused:     isCold && coldRate > 0 && !d.hasColdRoom(now, ids[i], coldRate),
			RateLimited: limited[i],
			Wanted:      wanted[i],
			Excluded:    excluded[i],
		}
		if cachedTokens != nil {
			candidates[i].CachedTokens = cachedTokens[i]
		}
	}
	return candidates
}

// hasColdRoom reports whether a cold upstream may get a request of this router now.
func (d *Dispatcher) hasColdRoom(now clock.Instant, id settings.UpstreamID, perSecond float64) bool {
	ok := d.Cold.Room(now, id, perSecond)
	if !ok {
		d.Scope.Counter("cold_upstreams_full").Inc(1)
	}
	return ok
}

// pauseLeft returns the time until the first upstream of a service wants requests again, 0 if one wants requests now.
func (d *Dispatcher) pauseLeft(now clock.Instant, name settings.ServiceName) time.Duration {
	_, soonest := d.Backoff.Paused(now, d.serving(name))
	return soonest
}

// serving returns the upstreams of a service that may get new requests, without those in evacuated data centres. Since these are no
// candidates at all, each prompt that is cached there gets the next upstream in its own order at once, which spreads the prompts, and the
// mean load is that of the others.
func (d *Dispatcher) serving(name settings.ServiceName) []members.Instance {
	all := d.Members.Serving(name)
	if !d.Evacuations.Active() {
		return all
	}
	outside := make([]members.Instance, 0, len(all))
	for _, inst := range all {
		if !d.Evacuations.Evacuated(inst.DataCentre) {
			outside = append(outside, inst)
		}
	}
	return outside
}

// allEvacuated reports whether a service has upstreams, all of them in data centres that are evacuated.
func (d *Dispatcher) allEvacuated(name settings.ServiceName) bool {
	return len(d.serving(name)) == 0 && len(d.Members.Serving(name)) > 0
}

// excluded reports for each upstream whether it should not get the request now, because it fails more than others, is unresponsive
// or barred. If that excludes all of them, failures do not count.
func (d *Dispatcher) excluded(now clock.Instant, ids []settings.UpstreamID, barred []bool) []bool {
	unresponsive := d.Unresponsive.Unresponsive(now, ids)
	excluded := d.Outliers.Ejected(now, ids)
	for i := range excluded {
		unresponsive[i] = unresponsive[i] || barred[i]
		excluded[i] = excluded[i] || unresponsive[i]
	}
	if !slices.Contains(excluded, false) {
		return unresponsive
	}
	return excluded
}

// sharedBlocks returns the prompt blocks that other requests may share.
func (r *Request) sharedBlocks() []call.PromptBlock {
	return r.PromptBlocks[:max(0, len(r.PromptBlocks)-1)]
}

// orderKey returns the key by which the upstreams are ordered for the request: its last shared prompt block or, without one, the
// request's id.
func (r *Request) orderKey() uint64 {
	if blocks := r.sharedBlocks(); len(blocks) > 0 {
		return uint64(blocks[len(blocks)-1].ID)
	}
	return xxhash.Sum64String(string(r.ID))
}
