package waiting

import (
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// refusalDecay is the time after which the results of attempts count half.
const refusalDecay = time.Second

// attempts holds the decaying numbers of attempts and of refused ones.
type attempts struct {
	at             clock.Instant
	total, refused float64
}

func (a *attempts) decay(now clock.Instant) {
	steps := int(now.Sub(a.at) / (refusalDecay / 4))
	if steps <= 0 {
		return
	}
	a.at = a.at.Add(time.Duration(steps) * refusalDecay / 4)
	for range min(steps, 64) {
		// The fourth root of one half.
		a.total, a.refused = a.total*0.84, a.refused*0.84
	}
}

// Refusals measures which share of the attempts at a service its upstreams refuse; the zero value is ready to use. It answers a
// service whose upstreams shed most of their load: the more attempts are refused, the later clients are told to come back, since
// their next attempt would be refused too.
type Refusals struct {
	mu       sync.Mutex
	services map[settings.ServiceName]*attempts
}

// Record records an attempt.
func (r *Refusals) Record(now clock.Instant, name settings.ServiceName, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = make(map[settings.ServiceName]*attempts)
	}
	a := r.services[name]
	if a == nil {
		a = &attempts{at: now}
		r.services[name] = a
	}
	a.decay(now)
	a.total++
	if refused {
		a.refused++
	}
}

// RetryAfter returns when a client should retry whose request was refused: as many times the shortest time as attempts are
// expected to be needed for one that is accepted, spread by random in [0, 1) so that clients do not return together.
func (r *Refusals) RetryAfter(now clock.Instant, name settings.ServiceName, random float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.services[name]
	if a == nil {
		return minRetryAfter
	}
	a.decay(now)
	// One accepted attempt is assumed, so that few attempts do not look like a total loss.
	needed := (a.total + 1) / (a.total - a.refused + 1)
	d := time.Duration(needed * float64(minRetryAfter) * (1 + random/2))
	return min(d, maxRetryAfter)
}
