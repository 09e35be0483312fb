package waiting

import (
	"sync"
	"time"

	"rattantrack.dev/core/settings"
)

const (
	// minDuration bounds a mean, by which waiting times are divided.
	minDuration = 5 * time.Millisecond
	// durationWeight is the number of requests over which a moving average is taken.
	durationWeight = 64
)

// mean is a moving average. While it has fewer samples than durationWeight, all weigh the same.
type mean struct {
	value   time.Duration
	samples int
}

// Durations holds the mean duration of the requests of each service; the zero value is ready to use.
type Durations struct {
	mu    sync.Mutex
	means map[settings.ServiceName]mean
}

// Record adds the duration of a request.
func (s *Durations) Record(name settings.ServiceName, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil {
		s.means = make(map[settings.ServiceName]mean)
	}
	m := s.means[name]
	m.samples = min(m.samples+1, durationWeight)
	m.value += (d - m.value) / time.Duration(m.samples)
	s.means[name] = m
}

// Mean returns the mean duration, or unmeasured before the first request.
func (s *Durations) Mean(name settings.ServiceName, unmeasured time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.means[name]; ok {
		return max(m.value, minDuration)
	}
	return unmeasured
}

// Overcommit returns how many requests an upstream may have open for each slot, so that the last one waits no longer than queueTime
// where a request runs for runTime. In overload the queue of the upstream serves the most urgent request as soon as a slot is free,
// which no router can know as soon. Of n requests that wait for s slots, the last one waits n/s of the mean run time (Little, A Proof
// for the Queuing Formula, 1961).
func Overcommit(runTime, queueTime time.Duration) float64 {
	return 1 + queueTime.Seconds()/runTime.Seconds()
}

// Wait returns how long a request waits at an upstream that has load other requests open.
func Wait(runTime time.Duration, load, slots int) time.Duration {
	ahead := max(0, load+1-slots)
	return time.Duration(float64(ahead) / float64(max(1, slots)) * float64(runTime))
}
