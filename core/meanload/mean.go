package meanload

import (
	"slices"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Times of the estimate.
const (
	// ExchangeInterval is the time between the exchanges that one side begins.
	ExchangeInterval = 125 * time.Millisecond
	// MaxAge is the age from which an estimate must not be used.
	MaxAge = 3 * time.Second
)

// leak is the weight of the two present loads against the two estimates in one exchange.
const leak = 0.15

// Bounds of what is remembered of other sides. Only what they said themselves counts: a list passed on would send the
// whole fleet to the same few sides.
const (
	maxLight    = 8
	maxLightAge = 2 * time.Second
)

// Sample is what one side tells another in an exchange.
type Sample struct {
	Side  settings.UpstreamID
	Load  settings.Tokens
	Mean  settings.Tokens
	Known bool
}

// Estimator holds one side's estimate; its zero value knows nothing.
type Estimator struct {
	mean    settings.Tokens
	updated clock.Instant
	known   bool
	light   []lightEntry
}

type lightEntry struct {
	side settings.UpstreamID
	load settings.Tokens
	at   clock.Instant
}

// Mean returns the estimate, and false when there is none young enough.
func (e *Estimator) Mean(now clock.Instant) (settings.Tokens, bool) {
	if !e.known || now.Sub(e.updated) > MaxAge {
		return 0, false
	}
	return e.mean, true
}

// Age returns the age of the estimate.
func (e *Estimator) Age(now clock.Instant) time.Duration { return now.Sub(e.updated) }

// Sample returns what to tell another side; own is the present load here.
func (e *Estimator) Sample(now clock.Instant, self settings.UpstreamID, own settings.Tokens) Sample {
	m, known := e.Mean(now)
	return Sample{Side: self, Load: own, Mean: m, Known: known}
}

// Merge takes in what another side told; both sides of an exchange merge, so the sum of estimates is kept.
// Estimates are averaged and leak towards the present loads, so that what a lost side contributed fades away.
func (e *Estimator) Merge(now clock.Instant, own settings.Tokens, other Sample) {
	present := (own + other.Load) / 2
	estimate := present
	mine, known := e.Mean(now)
	switch {
	case known && other.Known:
		estimate = (mine + other.Mean) / 2
	case known:
		estimate = mine
	case other.Known:
		estimate = other.Mean
	}
	e.mean = (1-leak)*estimate + leak*present
	e.updated = now
	e.known = true
	e.note(lightEntry{side: other.Side, load: other.Load, at: now})
}

// note keeps the lightest sides, lightest first.
func (e *Estimator) note(entry lightEntry) {
	e.Forget(entry.side)
	e.expire(entry.at)
	at := len(e.light)
	for at > 0 && e.light[at-1].load > entry.load {
		at--
	}
	if at >= maxLight {
		return
	}
	e.light = slices.Insert(e.light, at, entry)
	e.light = e.light[:min(len(e.light), maxLight)]
}

func (e *Estimator) expire(now clock.Instant) {
	e.light = slices.DeleteFunc(e.light, func(entry lightEntry) bool { return now.Sub(entry.at) > maxLightAge })
}

// Forget drops what is known of a side.
func (e *Estimator) Forget(side settings.UpstreamID) {
	e.light = slices.DeleteFunc(e.light, func(entry lightEntry) bool { return entry.side == side })
}

// LeastLoaded returns the side with the smallest load expected now, leaving some out. An old report of a small load
// counts less the older it is, since work flows to where it is light.
func (e *Estimator) LeastLoaded(now clock.Instant, skip ...settings.UpstreamID) (settings.UpstreamID, settings.Tokens, bool) {
	e.expire(now)
	var best settings.UpstreamID
	var least settings.Tokens
	for _, entry := range e.light {
		if slices.Contains(skip, entry.side) {
			continue
		}
		load := entry.load
		if e.known && load < e.mean {
			load += (e.mean - load) * settings.Tokens(now.Sub(entry.at)) / settings.Tokens(maxLightAge)
		}
		if best == "" || load < least {
			best, least = entry.side, load
		}
	}
	return best, least, best != ""
}

// Sent counts work towards a side that it was sent to, so that many asks at once do not all go to one side.
func (e *Estimator) Sent(side settings.UpstreamID, work settings.Tokens) {
	i := slices.IndexFunc(e.light, func(entry lightEntry) bool { return entry.side == side })
	if i < 0 {
		return
	}
	e.light[i].load += work
	for ; i+1 < len(e.light) && e.light[i+1].load < e.light[i].load; i++ {
		e.light[i], e.light[i+1] = e.light[i+1], e.light[i]
	}
}
