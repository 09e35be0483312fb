package mean

import (
	"slices"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Times of the estimate.
const (
	// Round is the time between the exchanges that one side begins.
	Round = 250 * time.Millisecond
	// MaxAge is the age from which an estimate must not be used.
	MaxAge = 3 * time.Second
)

// leak is the weight of the two present loads against the two estimates in one exchange.
const leak = 0.15

// Light lists, bounded so that an exchange has a fixed size.
const (
	maxLight     = 8
	sharedLight  = 3
	maxLightAge  = 2 * time.Second
	lightAgeUnit = time.Millisecond
)

// Sample is what one side tells another in an exchange.
type Sample struct {
	Side  settings.UpstreamID
	Load  settings.Tokens
	Mean  settings.Tokens
	Known bool
	Light []Light
}

// Light is a lightly loaded side and how long ago it was so.
type Light struct {
	Side settings.UpstreamID
	Load settings.Tokens
	Age  time.Duration
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
	s := Sample{Side: self, Load: own, Mean: m, Known: known}
	e.expire(now)
	for _, entry := range e.light[:min(len(e.light), sharedLight)] {
		age := now.Sub(entry.at).Round(lightAgeUnit)
		s.Light = append(s.Light, Light{Side: entry.side, Load: entry.load, Age: age})
	}
	return s
}

// Merge takes in what another side told; both sides of an exchange merge, so the sum of estimates is kept.
// Estimates are averaged and leak towards the present loads, so that what a lost side contributed fades away.
func (e *Estimator) Merge(now clock.Instant, own settings.Tokens, other Sample, self settings.UpstreamID) {
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
	e.note(now, self, Light{Side: other.Side, Load: other.Load})
	for _, l := range other.Light {
		e.note(now, self, l)
	}
}

// note keeps the lightest young sides, lightest first.
func (e *Estimator) note(now clock.Instant, self settings.UpstreamID, l Light) {
	if l.Side == self || l.Age < 0 || l.Age > maxLightAge {
		return
	}
	entry := lightEntry{side: l.Side, load: l.Load, at: now.Add(-l.Age)}
	if !e.forgetOlder(entry) {
		return
	}
	at := len(e.light)
	for at > 0 && e.light[at-1].load > entry.load {
		at--
	}
	if at >= maxLight {
		return
	}
	e.light = append(e.light, lightEntry{})
	copy(e.light[at+1:], e.light[at:])
	e.light[at] = entry
	e.light = e.light[:min(len(e.light), maxLight)]
}

// forgetOlder drops what was known of the same side, and reports false when that is newer.
func (e *Estimator) forgetOlder(entry lightEntry) bool {
	for i, have := range e.light {
		if have.side != entry.side {
			continue
		}
		if entry.at.Before(have.at) {
			return false
		}
		e.light = append(e.light[:i], e.light[i+1:]...)
		return true
	}
	return true
}

func (e *Estimator) expire(now clock.Instant) {
	kept := e.light[:0]
	for _, entry := range e.light {
		if now.Sub(entry.at) <= maxLightAge {
			kept = append(kept, entry)
		}
	}
	e.light = kept
}

// Forget drops a side that has left.
func (e *Estimator) Forget(side settings.UpstreamID) {
	e.forgetOlder(lightEntry{side: side, at: 1 << 62})
}

// Lightest returns the side with the smallest load expected now, leaving some out. An old report of a small load
// counts less the older it is, since work flows to where it is light.
func (e *Estimator) Lightest(now clock.Instant, skip ...settings.UpstreamID) (settings.UpstreamID, settings.Tokens, bool) {
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
