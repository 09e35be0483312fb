package work

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Reading is a statement of an upstream about how long work takes on its VM at the moment, as a multiple of the usual time. Its size on
// the wire is part of the control traffic, so it has few fields.
type Reading struct {
	Upstream settings.UpstreamID
	// Slowdown is the statement in percent of the usual time.
	Slowdown uint16
	// Age is in milliseconds. Stamp tells readings of an upstream apart, so that one that is passed on in a circle is not taken for new.
	Age   uint16
	Stamp uint16
}

// Bounds of the readings.
const (
	// maxAge is the age from which on a reading is neither kept nor passed on.
	maxAge = 1500 * time.Millisecond
	// maxReadings bounds the readings that are passed on at a time; the newest come first.
	maxReadings = 128
	// history is the number of readings kept of each upstream, from which the persistence is learnt.
	history = 8
	// activeTime is how long the absence of readings is taken for chance.
	activeTime = 10 * time.Second
	// maxSlowdown bounds a statement, so that an upstream that states nonsense does not lose the prompts that it has cached, nor shift the
	// mean.
	maxSlowdown = 4
	// usual is the statement of an upstream that works as fast as usual.
	usual = 100
	// meanWeight is the weight of one reading in the mean over all upstreams.
	meanWeight = 1.0 / 1024
)

// sample is a reading with the time at which it was made.
type sample struct {
	at       clock.Instant
	slowdown float64
	stamp    uint16
}

// Speeds holds the readings of the upstreams' slowdowns, own ones and those of other routers, and learns for how long a reading says
// something about its upstream. The zero value is empty and ready to use.
type Speeds struct {
	mu sync.Mutex
	// samples holds the latest readings of each upstream, the newest first.
	samples map[settings.UpstreamID][]sample
	latest  clock.Instant
	mean    float64
	lags    persistence
}

// Record records what an upstream has just stated to this router, 1 for the usual speed.
func (s *Speeds) Record(now clock.Instant, id settings.UpstreamID, slowdown float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(id, sample{at: now, slowdown: slowdown, stamp: uint16(rand.Uint32())})
}

// Merge records readings that another router passes on.
func (s *Speeds) Merge(now clock.Instant, readings []Reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range readings {
		if r.Slowdown == 0 || time.Duration(r.Age)*time.Millisecond > maxAge {
			continue
		}
		s.add(r.Upstream, sample{
			at: now.Add(-time.Duration(r.Age) * time.Millisecond), slowdown: float64(r.Slowdown) / usual, stamp: r.Stamp,
		})
	}
}

// add inserts a sample by its time; s.mu is held.
func (s *Speeds) add(id settings.UpstreamID, n sample) {
	n.slowdown = min(n.slowdown, maxSlowdown)
	list := s.samples[id]
	for _, old := range list {
		if old.stamp == n.stamp && old.slowdown == n.slowdown {
			return
		}
	}
	if s.samples == nil {
		s.samples = make(map[settings.UpstreamID][]sample)
		s.mean = 1
	}
	s.latest = max(s.latest, n.at)
	s.mean += meanWeight * (n.slowdown - s.mean)
	for _, old := range list {
		s.lags.add(n.at.Sub(old.at).Abs(), old.slowdown-s.mean, n.slowdown-s.mean)
	}
	i, _ := slices.BinarySearchFunc(list, n, func(a, b sample) int { return cmp.Compare(b.at, a.at) })
	list = slices.Insert(list, i, n)
	s.samples[id] = list[:min(len(list), history)]
}

// Recent returns the newest reading of each upstream, the newest first, to be passed on. It drops upstreams without recent readings.
func (s *Speeds) Recent(now clock.Instant) []Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Reading
	for id, samples := range s.samples {
		age := now.Sub(samples[0].at)
		if age > activeTime {
			delete(s.samples, id)
		}
		if age > maxAge {
			continue
		}
		list = append(list, Reading{
			Upstream: id, Slowdown: uint16(min(65535, samples[0].slowdown*usual)), Age: uint16(max(0, age.Milliseconds())), Stamp: samples[0].stamp,
		})
	}
	slices.SortFunc(list, func(a, b Reading) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream)) })
	return list[:min(len(list), maxReadings)]
}

// Active reports whether upstreams state how fast they work.
func (s *Speeds) Active(now clock.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest != 0 && now.Sub(s.latest) < activeTime
}

// Expected returns how long work is expected to take now at each upstream, in the given order, 1 for the usual time. A reading counts as
// far as readings of its age have turned out to agree with later ones; the rest is the mean over all upstreams.
func (s *Speeds) Expected(now clock.Instant, ids []settings.UpstreamID) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	expected := make([]float64, len(ids))
	for i, id := range ids {
		expected[i] = 1
		if s.samples == nil {
			continue
		}
		expected[i] = s.mean
		if list := s.samples[id]; len(list) > 0 {
			expected[i] += s.lags.at(now.Sub(list[0].at)) * (list[0].slowdown - s.mean)
		}
	}
	return expected
}

// Excess returns how much longer than on average work is expected to take now at each upstream, in the given order, at least 1. Upstreams
// that are not slow are alike: if the newest reading decided between them, all routers would choose the upstream that it is from.
func (s *Speeds) Excess(now clock.Instant, ids []settings.UpstreamID) []float64 {
	excess := s.Expected(now, ids)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range excess {
		excess[i] = max(1, excess[i]/max(1, s.mean))
	}
	return excess
}

// Status describes what is known of the upstreams' speeds.
type Status struct {
	// Upstreams is the number of upstreams with recent readings, Slow that of those whose latest reading exceeds the mean by half of it.
	Upstreams int     `json:"upstreams"`
	Slow      int     `json:"slow"`
	Mean      float64 `json:"mean"`
	Lags      []Lag   `json:"persistence"`
}

// Status returns what is known now.
func (s *Speeds) Status(now clock.Instant) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{Mean: s.mean, Lags: s.lags.list()}
	for _, samples := range s.samples {
		if now.Sub(samples[0].at) > maxAge {
			continue
		}
		st.Upstreams++
		if samples[0].slowdown > 1.5*s.mean {
			st.Slow++
		}
	}
	return st
}
