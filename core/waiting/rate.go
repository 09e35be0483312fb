package waiting

import (
	"math"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// rateTime is the time constant of the rates. It spans several exchanges of counts, and follows a burst.
const rateTime = 300 * time.Millisecond

// Rates measures how often something happens for each service; the zero value is ready to use.
type Rates struct {
	mu    sync.Mutex
	rates map[settings.ServiceName]eventRate
}

type eventRate struct {
	value float64
	at    clock.Instant
}

func (r eventRate) after(now clock.Instant) float64 {
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/rateTime.Seconds())
}

// Record counts an event and returns the rate of events per second.
func (r *Rates) Record(now clock.Instant, name settings.ServiceName) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rates == nil {
		r.rates = make(map[settings.ServiceName]eventRate)
	}
	next := eventRate{value: r.rates[name].after(now) + 1/rateTime.Seconds(), at: now}
	r.rates[name] = next
	return next.value
}

// Room describes an upstream that routers send to by counts of some age.
type Room struct {
	// Load is the number of open requests, Limit the largest one.
	Load, Limit float64
	// Residence is how long a request stays open.
	Residence time.Duration
	// Age is the age of the counts in Load.
	Age time.Duration
	// Wanted is the rate of requests per second that all routers together have for the upstream.
	Wanted float64
}

// Share returns the share of the requests that may be sent to the upstream, so that all routers together fill its room. It answers
// many routers that see the same free slot: what they send until the counts show it must not exceed the room, with what ends meanwhile
// (random early detection: Floyd and Jacobson, Random Early Detection Gateways for Congestion Avoidance, 1993).
func (r Room) Share() float64 {
	ended := r.Load * min(1, r.Age.Seconds()/max(r.Residence, minDuration).Seconds())
	room := r.Limit - r.Load + ended
	unseen := r.Wanted * r.Age.Seconds()
	if room >= unseen {
		return 1
	}
	return max(0, room/unseen)
}
