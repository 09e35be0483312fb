package admission

import (
	"time"

	"rattantrack.dev/core/cacheowner"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/meanload"
	"rattantrack.dev/core/settings"
)

// Thresholds of a side's load, as fractions of the headroom: the range from the mean load to Policy.Multiple times the mean.
const (
	// uncachedHeadroom limits admission of requests whose prefix is not cached here. A side that moves work away aims at it.
	uncachedHeadroom = 0.2
	// cachedHeadroom limits admission of requests whose prefix is cached here.
	cachedHeadroom = 0.7
	// movedHeadroom limits admission of requests that another side has moved away.
	movedHeadroom = 0.6
	// moveAwayHeadroom is the load above which a side moves work away.
	moveAwayHeadroom = 0.6
)

// largeHeadroom is the fraction of the headroom above which a request counts as large.
const largeHeadroom = 0.5

// maxMoveFactor limits the charge of a moved request to this multiple of half the load difference between the two sides.
const maxMoveFactor = 1.5

// floorRequests sets the load below which a side admits a request whatever the mean load is, in requests of the same charge.
const floorRequests = 4

// noMeanTimeout is how long a side without a mean load admits no more than the floor. After that it assumes that no other
// side can be reached, and admits without a limit.
const noMeanTimeout = 2 * time.Second

// significantFraction is the fraction of a request's charge that prefill work must exceed to be worth a redirect or an import.
const significantFraction = 0.15

// Policy holds the load limits of a service and what its engines can do, both from its declaration.
type Policy struct {
	// Multiple is the declared limit of a side's load, as a multiple of the mean load.
	Multiple float64
	// PrefillWeight is the work of one prompt token in units of one answer token.
	PrefillWeight float64
	// CanImport means that an engine can import a prefix that another one exports.
	CanImport bool
}

// Request is a request that a side may admit.
type Request struct {
	Chat         uint64
	PromptTokens settings.Tokens
	DecodeTokens settings.Tokens
	// IsPrimary means that this side is the chat's primary.
	IsPrimary bool
	// Redirected means that another side was tried for this request before or has moved it away.
	Redirected bool
	// Moved means that another side has moved the request away to reduce its load.
	Moved bool
	// LastCandidate means that no other side that refused the request had less load. It is then admitted whatever the load.
	LastCandidate bool
	// CacheOwner is a side that may export the prefix, empty for none.
	CacheOwner settings.UpstreamID
}

// Decision is the result of Controller.Decide for a Request.
type Decision struct {
	Admitted bool
	// Charge is the load to count until the request ends; Prefill is the part of it that ends with the first token.
	Charge  settings.Tokens
	Prefill settings.Tokens
	// ImportFrom is the side to fetch the prefix from, empty for none. CacheOwner is a side that has the prefix, for the
	// side that is tried next.
	ImportFrom settings.UpstreamID
	CacheOwner settings.UpstreamID
	// Next lists the sides to try instead, best first; unused elements are empty.
	Next [2]settings.UpstreamID
}

// Controller holds one side's load and its information about other sides and cached prefixes. It has no clock and no
// randomness of its own.
type Controller struct {
	Self        settings.UpstreamID
	Policy      Policy
	Estimator   meanload.Estimator
	CacheOwners cacheowner.Table
	Prefixes    Prefixes

	load settings.Tokens
	// noMeanSince is when the mean load was first found missing.
	noMeanSince clock.Instant
	noMean      bool
}

// Load returns the sum of the charges of the open requests.
func (c *Controller) Load() settings.Tokens { return c.load }

// limit returns the load up to which a request of the given charge may be admitted, for one of the headroom fractions.
func (c *Controller) limit(now clock.Instant, headroom float64, charge settings.Tokens) settings.Tokens {
	floor := floorRequests * charge
	mean, known := c.Estimator.Mean(now)
	if !known {
		return c.limitWithoutMean(now, floor)
	}
	c.noMean = false
	// A side at the mean admits one request more, unless that request alone would make it move work away.
	oneMore := min(mean+charge, c.loadAt(mean, movedHeadroom))
	return max(floor, oneMore, c.loadAt(mean, headroom))
}

// limitWithoutMean returns the floor until noMeanTimeout has passed, and no limit after that.
func (c *Controller) limitWithoutMean(now clock.Instant, floor settings.Tokens) settings.Tokens {
	if !c.noMean {
		c.noMean = true
		c.noMeanSince = now
	}
	if now.Sub(c.noMeanSince) > noMeanTimeout {
		return unlimitedLoad
	}
	return floor
}

const unlimitedLoad = settings.Tokens(1e18)

// Decide answers a request; the charge of an admitted one counts at once.
func (c *Controller) Decide(now clock.Instant, req Request) Decision {
	cached := min(req.PromptTokens, c.Prefixes.Cached(req.Chat))
	decision := c.newDecision(req, cached)
	saved := c.prefill(cached)
	cachedHere := saved > significantFraction*decision.Charge
	decision.CacheOwner = req.CacheOwner
	if cachedHere {
		decision.CacheOwner = c.Self
	}
	if !cachedHere && !req.Redirected && req.IsPrimary {
		if to, ok := c.redirectTarget(req, decision.Charge); ok {
			decision.Next[0] = to
			decision.CacheOwner = to
			return decision
		}
	}
	if !cachedHere && !req.Redirected && c.isLarge(now, decision.Charge) {
		// A large request is placed by load from the start, since moving other requests away to make room costs more.
		c.setNext(now, req, &decision)
		if decision.Next[0] != "" {
			decision.ImportFrom = ""
			return decision
		}
	}
	headroom := uncachedHeadroom
	switch {
	case cachedHere:
		headroom = cachedHeadroom
	case req.Moved:
		headroom = movedHeadroom
	}
	if req.LastCandidate || c.load+decision.Charge <= c.limit(now, headroom, decision.Charge) {
		decision.Admitted = true
		c.load += decision.Charge
		c.Prefixes.RecordUse(req.Chat)
		return decision
	}
	decision.ImportFrom = ""
	c.setNext(now, req, &decision)
	return decision
}

// isLarge reports whether a request would put the side above the mean and takes more than largeHeadroom.
func (c *Controller) isLarge(now clock.Instant, charge settings.Tokens) bool {
	mean, known := c.Estimator.Mean(now)
	return known && c.load+charge > mean && charge > largeHeadroom*settings.Tokens(c.Policy.Multiple-1)*mean
}

// newDecision returns a Decision with the charge of a request, and with the import that reduces the charge if one pays off.
func (c *Controller) newDecision(req Request, cached settings.Tokens) Decision {
	missing := c.prefill(req.PromptTokens - cached)
	decision := Decision{Charge: req.DecodeTokens + missing, Prefill: missing}
	worthImport := missing > significantFraction*decision.Charge
	if c.Policy.CanImport && worthImport && req.CacheOwner != "" && req.CacheOwner != c.Self {
		decision.ImportFrom = req.CacheOwner
		decision.Charge = req.DecodeTokens
		decision.Prefill = 0
	}
	return decision
}

// prefill returns the work of prefilling n prompt tokens.
func (c *Controller) prefill(n settings.Tokens) settings.Tokens {
	return settings.Tokens(c.Policy.PrefillWeight) * n
}

// redirectTarget returns the side that last served the chat, if its cached prefix can be worth a redirect.
func (c *Controller) redirectTarget(req Request, charge settings.Tokens) (settings.UpstreamID, bool) {
	first, _ := c.CacheOwners.Owners(req.Chat)
	if first == "" || first == c.Self || c.prefill(req.PromptTokens) <= significantFraction*charge {
		return "", false
	}
	return first, true
}

// setNext sets the sides to try instead: another cache owner of the chat, then the least loaded sides.
func (c *Controller) setNext(now clock.Instant, req Request, decision *Decision) {
	n := 0
	if req.IsPrimary && !req.Redirected {
		first, second := c.CacheOwners.Owners(req.Chat)
		if first == c.Self {
			first = second
		}
		if first != "" && first != c.Self {
			decision.Next[n] = first
			n++
		}
	}
	for n < len(decision.Next) {
		side, _, ok := c.Estimator.LeastLoaded(now, decision.Next[0], c.Self)
		if !ok {
			return
		}
		if n == 0 || decision.Next[0] != side {
			c.Estimator.RecordSent(side, decision.Charge/settings.Tokens(n+1))
		}
		decision.Next[n] = side
		n++
	}
}

// RecordFirstToken takes the prefill part of a request's charge off the load; call it when the first token arrives.
func (c *Controller) RecordFirstToken(decision *Decision) {
	c.load -= decision.Prefill
	decision.Charge -= decision.Prefill
	decision.Prefill = 0
}

// Release takes the rest of a request's charge off the load; call it when the request ends.
func (c *Controller) Release(decision *Decision) {
	c.load -= decision.Charge
	decision.Charge = 0
	decision.Prefill = 0
}

// ExcessLoad returns the work that should move to other sides, or zero if the load is within moveAwayHeadroom.
func (c *Controller) ExcessLoad(now clock.Instant) settings.Tokens {
	mean, known := c.Estimator.Mean(now)
	if !known || c.load <= c.loadAt(mean, moveAwayHeadroom) {
		return 0
	}
	return c.load - c.loadAt(mean, uncachedHeadroom)
}

// loadAt returns the load at a fraction of the headroom above the mean.
func (c *Controller) loadAt(mean settings.Tokens, headroom float64) settings.Tokens {
	return mean * settings.Tokens(1+headroom*(c.Policy.Multiple-1))
}

// Move describes work that should move to another side: the request whose charge is closest to Charge and not above
// MaxCharge.
type Move struct {
	To        settings.UpstreamID
	Charge    settings.Tokens
	MaxCharge settings.Tokens
}

// NextMove returns a move that reduces the load, if the side has excess load and has a report of a less loaded side.
func (c *Controller) NextMove(now clock.Instant) (Move, bool) {
	excess := c.ExcessLoad(now)
	if excess <= 0 {
		return Move{}, false
	}
	to, targetLoad, ok := c.Estimator.LeastLoaded(now, c.Self)
	if !ok || targetLoad >= c.load {
		return Move{}, false
	}
	// At most half the difference should move; moving all of it would only swap the loads of the two sides.
	half := (c.load - targetLoad) / 2
	return Move{To: to, Charge: min(excess, half), MaxCharge: half * maxMoveFactor}, true
}

// RecordMove adds a moved request's charge to the load assumed for its new side.
func (c *Controller) RecordMove(to settings.UpstreamID, charge settings.Tokens) {
	c.Estimator.RecordSent(to, charge)
}

// RecordMissingImport adds the prefill work of prefix tokens that an import did not deliver to a request's charge.
func (c *Controller) RecordMissingImport(decision *Decision, missing settings.Tokens) {
	work := c.prefill(missing)
	c.load += work
	decision.Charge += work
	decision.Prefill += work
}
