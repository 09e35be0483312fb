package admit

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/holder"
	"rattantrack.dev/core/mean"
	"rattantrack.dev/core/settings"
)

// Shares of the room between the mean and the promised multiple, at which a side acts.
const (
	// placeRoom is how far new and spilled work may fill a side.
	placeRoom = 0.3
	// holdRoom is how far work whose prefix is cached here may fill it.
	holdRoom = 0.7
	// shedRoom is where a side begins to move work away.
	shedRoom = 0.8
)

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
	// Import says that the engine can take in a prefix that another one exports.
	Import bool
}

// Ask is one request that a side may take.
type Ask struct {
	Chat   uint64
	Prompt settings.Tokens
	Decode settings.Tokens
	// Home says that this side is the chat's home.
	Home bool
	// Sent says that another side sent the request here.
	Sent bool
	// Last says that every other side asked had more load; only what cannot be run is refused then.
	Last bool
	// Holder is a side that may export the prefix.
	Holder settings.UpstreamID
}

// Verdict is the answer to an Ask.
type Verdict struct {
	Admit bool
	// Charge is the work to count until the request ends; Prefill is the part that ends with the first token.
	Charge  settings.Tokens
	Prefill settings.Tokens
	// Import names the side to fetch the prefix from, and Holder one that has it, where the request goes elsewhere.
	Import settings.UpstreamID
	Holder settings.UpstreamID
	// Next are sides to ask instead, best first, empty ones after the last.
	Next [2]settings.UpstreamID
}

// Controller holds what one side knows of load and prefixes. It has no clock and no randomness of its own.
type Controller struct {
	Self      settings.UpstreamID
	Policy    Policy
	Estimator mean.Estimator
	Directory holder.Directory
	Prefixes  Prefixes

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
	// A side at the mean always has room for one request more, so that some side always has.
	return max(floor, m+charge, m*settings.Tokens(1+room*(c.Policy.Multiple-1)))
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
func (c *Controller) Decide(now clock.Instant, ask Ask, random func(n int) int) Verdict {
	cached := min(ask.Prompt, c.Prefixes.Cached(ask.Chat))
	v := c.price(ask, cached)
	saved := c.prefill(cached)
	here := saved > significant*v.Charge
	v.Holder = ask.Holder
	if here {
		v.Holder = c.Self
	}
	if !here && !ask.Sent && ask.Home {
		if to, ok := c.redirect(ask, v.Charge); ok {
			v.Next[0] = to
			v.Holder = to
			return v
		}
	}
	room := placeRoom
	if here {
		room = holdRoom
	}
	if ask.Last || c.load+v.Charge <= c.limit(now, room, v.Charge) {
		v.Admit = true
		c.load += v.Charge
		return v
	}
	v.Import = ""
	c.elsewhere(now, ask, &v, random)
	return v
}

// price returns the charge of a request of which a part of the prompt is cached here.
func (c *Controller) price(ask Ask, cached settings.Tokens) Verdict {
	missing := c.prefill(ask.Prompt - cached)
	v := Verdict{Charge: ask.Decode + missing, Prefill: missing}
	pays := missing > significant*v.Charge
	if c.Policy.Import && pays && ask.Holder != "" && ask.Holder != c.Self {
		v.Import = ask.Holder
		v.Charge = ask.Decode
		v.Prefill = 0
	}
	return v
}

// prefill returns the work of reading prompt tokens that are not cached.
func (c *Controller) prefill(n settings.Tokens) settings.Tokens {
	return settings.Tokens(c.Policy.PrefillWeight) * n
}

// redirect names the side that holds the chat's prefix, if asking there can pay.
func (c *Controller) redirect(ask Ask, charge settings.Tokens) (settings.UpstreamID, bool) {
	first, _ := c.Directory.Holders(ask.Chat)
	if first == "" || first == c.Self || c.prefill(ask.Prompt) <= significant*charge {
		return "", false
	}
	return first, true
}

// elsewhere fills in the sides to ask instead: the other holder, then a lightly loaded side.
func (c *Controller) elsewhere(now clock.Instant, ask Ask, v *Verdict, random func(n int) int) {
	n := 0
	first, second := c.Directory.Holders(ask.Chat)
	for _, side := range [...]settings.UpstreamID{first, second} {
		if ask.Home && !ask.Sent && side != "" && side != c.Self && n == 0 {
			v.Next[n] = side
			n++
		}
	}
	limit := c.limit(now, placeRoom, v.Charge)
	for n < len(v.Next) {
		side, ok := c.Estimator.PickLight(now, v.Charge, limit, random, v.Next[0], c.Self)
		if !ok {
			return
		}
		v.Next[n] = side
		n++
	}
}

// FirstToken takes the prefill part off the load when a request's first token is there.
func (c *Controller) FirstToken(v *Verdict) {
	c.load -= v.Prefill
	v.Charge -= v.Prefill
	v.Prefill = 0
}

// Release takes what is left of a request's charge off the load.
func (c *Controller) Release(v *Verdict) {
	c.load -= v.Charge
	v.Charge = 0
	v.Prefill = 0
}

// Shed reports whether the side carries so much that a request with this charge should move, and where to.
func (c *Controller) Shed(now clock.Instant, charge settings.Tokens, random func(n int) int) (settings.UpstreamID, bool) {
	m, known := c.Estimator.Mean(now)
	if !known || charge <= 0 {
		return "", false
	}
	trigger := max(floorCharges*charge, m*settings.Tokens(1+shedRoom*(c.Policy.Multiple-1)))
	if c.load <= trigger {
		return "", false
	}
	// A target must stay below the mean's place limit, so that work does not come back.
	return c.Estimator.PickLight(now, charge, c.limit(now, placeRoom, charge), random, c.Self)
}
