package admission

import (
	"time"

	"rattantrack.dev/core/cacheowner"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/meanload"
	"rattantrack.dev/core/settings"
)

// Shares of the room between the mean and the promised multiple, at which a side acts.
const (
	// placeRoom is how far new and spilled work may fill a side.
	placeRoom = 0.2
	// holdRoom is how far work whose prefix is cached here may fill it.
	holdRoom = 0.7
	// moveRoom is how far work that another side moves here may fill this one.
	moveRoom = 0.6
	// shedRoom is where a side begins to move work away.
	shedRoom = 0.6
)

// largeRoom is the part of the room between the mean and the multiple from which a request counts as large.
const largeRoom = 0.5

// mostOfHalf is how far above half the difference of two sides' loads a moved charge may be.
const mostOfHalf = 1.5

// floorCharges is the number of requests like the one asked about that an idle fleet always takes.
const floorCharges = 4

// unknownTime is how long a side without a mean keeps to the floor before it believes itself alone.
const unknownTime = 2 * time.Second

// significant is the part of a request's work that a cached prefix must save to be worth another ask.
const significant = 0.15

// Policy is what the declarations say about load.
type Policy struct {
	Multiple float64
	// PrefillWeight is the work of one prompt token in units of one answer token.
	PrefillWeight float64
	// CanImport says that the engine can take in a prefix that another one exports.
	CanImport bool
}

// Request is one request that a side may take.
type Request struct {
	Chat         uint64
	PromptTokens settings.Tokens
	DecodeTokens settings.Tokens
	// IsPrimary says that this side is the chat's home.
	IsPrimary bool
	// Redirected says that another side sent the request here.
	Redirected bool
	// Moved says that a side which carries too much moves the request here.
	Moved bool
	// LastCandidate says that every other side asked had more load; only what cannot be run is refused then.
	LastCandidate bool
	// CacheOwner is a side that may export the prefix.
	CacheOwner settings.UpstreamID
}

// Decision is the answer to an Ask.
type Decision struct {
	Admitted bool
	// Charge is the work to count until the request ends; Prefill is the part that ends with the first token.
	Charge  settings.Tokens
	Prefill settings.Tokens
	// ImportFrom names the side to fetch the prefix from, and Holder one that has it, where the request goes elsewhere.
	ImportFrom settings.UpstreamID
	CacheOwner settings.UpstreamID
	// Next are sides to ask instead, best first, empty ones after the last.
	Next [2]settings.UpstreamID
}

// Controller holds what one side knows of load and prefixes. It has no clock and no randomness of its own.
type Controller struct {
	Self        settings.UpstreamID
	Policy      Policy
	Estimator   meanload.Estimator
	CacheOwners cacheowner.Table
	Prefixes    Prefixes

	load settings.Tokens
	// unknownSince is when the estimate was first missed.
	unknownSince clock.Instant
	unknown      bool
}

// Load returns the work that the side carries.
func (c *Controller) Load() settings.Tokens { return c.load }

// limit returns the load up to which work of a kind may be taken.
func (c *Controller) limit(now clock.Instant, room float64, charge settings.Tokens) settings.Tokens {
	floor := floorCharges * charge
	m, known := c.Estimator.Mean(now)
	if !known {
		return c.limitWithoutMean(now, floor)
	}
	c.unknown = false
	// A side at the mean takes one request more unless that alone makes it shed.
	one := min(m+charge, c.above(m, moveRoom))
	return max(floor, one, c.above(m, room))
}

// limitWithoutMean keeps to the floor until it is clear that no other side can be reached.
func (c *Controller) limitWithoutMean(now clock.Instant, floor settings.Tokens) settings.Tokens {
	if !c.unknown {
		c.unknown = true
		c.unknownSince = now
	}
	if now.Sub(c.unknownSince) > unknownTime {
		return unlimited
	}
	return floor
}

const unlimited = settings.Tokens(1e18)

// Decide answers an ask; an admitted request's charge is counted at once.
func (c *Controller) Decide(now clock.Instant, ask Request) Decision {
	cached := min(ask.PromptTokens, c.Prefixes.Cached(ask.Chat))
	v := c.price(ask, cached)
	saved := c.prefill(cached)
	here := saved > significant*v.Charge
	v.CacheOwner = ask.CacheOwner
	if here {
		v.CacheOwner = c.Self
	}
	if !here && !ask.Redirected && ask.IsPrimary {
		if to, ok := c.redirect(ask, v.Charge); ok {
			v.Next[0] = to
			v.CacheOwner = to
			return v
		}
	}
	if !here && !ask.Redirected && c.large(now, v.Charge) {
		// Such a request is placed by load from the start, since moving others out of its way costs more.
		c.elsewhere(now, ask, &v)
		if v.Next[0] != "" {
			v.ImportFrom = ""
			return v
		}
	}
	room := placeRoom
	switch {
	case here:
		room = holdRoom
	case ask.Moved:
		room = moveRoom
	}
	if ask.LastCandidate || c.load+v.Charge <= c.limit(now, room, v.Charge) {
		v.Admitted = true
		c.load += v.Charge
		c.Prefixes.Used(ask.Chat)
		return v
	}
	v.ImportFrom = ""
	c.elsewhere(now, ask, &v)
	return v
}

// large reports whether a request would take a good part of the room between the mean and the multiple.
func (c *Controller) large(now clock.Instant, charge settings.Tokens) bool {
	m, known := c.Estimator.Mean(now)
	return known && c.load+charge > m && charge > largeRoom*settings.Tokens(c.Policy.Multiple-1)*m
}

// price returns the charge of a request of which a part of the prompt is cached here.
func (c *Controller) price(ask Request, cached settings.Tokens) Decision {
	missing := c.prefill(ask.PromptTokens - cached)
	v := Decision{Charge: ask.DecodeTokens + missing, Prefill: missing}
	pays := missing > significant*v.Charge
	if c.Policy.CanImport && pays && ask.CacheOwner != "" && ask.CacheOwner != c.Self {
		v.ImportFrom = ask.CacheOwner
		v.Charge = ask.DecodeTokens
		v.Prefill = 0
	}
	return v
}

// prefill returns the work of reading prompt tokens that are not cached.
func (c *Controller) prefill(n settings.Tokens) settings.Tokens {
	return settings.Tokens(c.Policy.PrefillWeight) * n
}

// redirect names the side that holds the chat's prefix, if asking there can pay.
func (c *Controller) redirect(ask Request, charge settings.Tokens) (settings.UpstreamID, bool) {
	first, _ := c.CacheOwners.Owners(ask.Chat)
	if first == "" || first == c.Self || c.prefill(ask.PromptTokens) <= significant*charge {
		return "", false
	}
	return first, true
}

// elsewhere fills in the sides to ask instead: the chat's other holder, then lightly loaded sides.
func (c *Controller) elsewhere(now clock.Instant, ask Request, v *Decision) {
	n := 0
	if ask.IsPrimary && !ask.Redirected {
		first, second := c.CacheOwners.Owners(ask.Chat)
		if first == c.Self {
			first = second
		}
		if first != "" && first != c.Self {
			v.Next[n] = first
			n++
		}
	}
	for n < len(v.Next) {
		side, _, ok := c.Estimator.LeastLoaded(now, v.Next[0], c.Self)
		if !ok {
			return
		}
		if n == 0 || v.Next[0] != side {
			c.Estimator.Sent(side, v.Charge/settings.Tokens(n+1))
		}
		v.Next[n] = side
		n++
	}
}

// FirstToken takes the prefill part off the load when a request's first token is there.
func (c *Controller) FirstToken(v *Decision) {
	c.load -= v.Prefill
	v.Charge -= v.Prefill
	v.Prefill = 0
}

// Release takes what is left of a request's charge off the load.
func (c *Controller) Release(v *Decision) {
	c.load -= v.Charge
	v.Charge = 0
	v.Prefill = 0
}

// ExcessLoad returns the work that should move away, or zero while the side carries no more than it should.
func (c *Controller) ExcessLoad(now clock.Instant) settings.Tokens {
	m, known := c.Estimator.Mean(now)
	if !known || c.load <= c.above(m, shedRoom) {
		return 0
	}
	return c.load - c.above(m, placeRoom)
}

// above returns the load at a part of the room between the mean and the multiple.
func (c *Controller) above(m settings.Tokens, room float64) settings.Tokens {
	return m * settings.Tokens(1+room*(c.Policy.Multiple-1))
}

// Move is work that should go to another side: the request whose charge is nearest to Charge, and none above Most.
type Move struct {
	To        settings.UpstreamID
	Charge    settings.Tokens
	MaxCharge settings.Tokens
}

// NextMove returns the move that brings the side nearer to the mean, if it carries too much and a lighter side is known.
func (c *Controller) NextMove(now clock.Instant) (Move, bool) {
	excess := c.ExcessLoad(now)
	if excess <= 0 {
		return Move{}, false
	}
	to, load, ok := c.Estimator.LeastLoaded(now, c.Self)
	if !ok || load >= c.load {
		return Move{}, false
	}
	// Beyond half the difference the two sides would only change places.
	half := (c.load - load) / 2
	return Move{To: to, Charge: min(excess, half), MaxCharge: half * mostOfHalf}, true
}

// RecordMove counts a moved request's charge towards its new side.
func (c *Controller) RecordMove(to settings.UpstreamID, charge settings.Tokens) {
	c.Estimator.Sent(to, charge)
}

// RecordMissingImport corrects a request's charge when fewer tokens of its prefix came than were expected.
func (c *Controller) RecordMissingImport(v *Decision, missing settings.Tokens) {
	work := c.prefill(missing)
	c.load += work
	v.Charge += work
	v.Prefill += work
}
