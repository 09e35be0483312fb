package waiting

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Times and sizes of the line.
const (
	// maxWaiting bounds the requests of one service that wait at one router.
	maxWaiting = 256
	// noUpstreamTime is how long a request waits while its service has no upstream: an entry or a connection that is
	// about to come back needs less.
	noUpstreamTime = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound when a refused client should come back.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// defaultPace is the time between two ends of requests that is assumed before any has been seen.
	defaultPace = 20 * time.Millisecond
)

// Ticket is a request that waits.
type Ticket struct {
	Rank int
	// Deadline is when the client stops waiting, Useful when an answer that starts then is no longer on time.
	Deadline, Useful clock.Instant
	arrived          uint64
	ready            chan struct{}
}

// Ready is closed when the request should be placed again.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Refusal says why a request does not wait and when its client should come back.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// line is the requests of one service that wait, the most urgent first and then in order of arrival.
type line struct {
	tickets []*Ticket
	// pace is the mean time between the ends of requests here.
	pace    time.Duration
	lastEnd clock.Instant
}

// Room keeps the lines of all services; its zero value is empty. It answers bursts above what the upstreams can hold:
// a short burst waits, the most urgent first, and once the line is longer than a request can stand, the rest is refused
// at once and told when the line will have passed.
type Room struct {
	mu      sync.Mutex
	lines   map[settings.ServiceName]*line
	arrival uint64
}

func (r *Room) line(name settings.ServiceName) *line {
	if r.lines == nil {
		r.lines = make(map[settings.ServiceName]*line)
	}
	l := r.lines[name]
	if l == nil {
		l = &line{pace: defaultPace}
		r.lines[name] = l
	}
	return l
}

// Enter puts a request in line, or refuses it where its turn would come too late. A less urgent request that no longer
// has a prospect behind it is refused through its own Enter or wait, not here.
func (r *Room) Enter(now clock.Instant, name settings.ServiceName, t *Ticket) *Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.line(name)
	ahead := 0
	for _, other := range l.tickets {
		if other.Rank <= t.Rank {
			ahead++
		}
	}
	wait := time.Duration(ahead+1) * l.pace
	if len(l.tickets) >= maxWaiting || now.Add(wait) > t.Deadline {
		return &Refusal{Reason: "line_too_long", RetryAfter: clamp(wait)}
	}
	r.arrival++
	t.arrived = r.arrival
	t.ready = make(chan struct{})
	l.tickets = append(l.tickets, t)
	slices.SortStableFunc(l.tickets, func(x, y *Ticket) int {
		return cmp.Or(cmp.Compare(x.Rank, y.Rank), cmp.Compare(x.arrived, y.arrived))
	})
	return nil
}

// Leave takes a request out of the line.
func (r *Room) Leave(name settings.ServiceName, t *Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.line(name)
	l.tickets = slices.DeleteFunc(l.tickets, func(other *Ticket) bool { return other == t })
}

// Ended notes that a request of the service has ended, and wakes the first in line.
func (r *Room) Ended(now clock.Instant, name settings.ServiceName) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.line(name)
	if l.lastEnd != 0 {
		gap := min(now.Sub(l.lastEnd), time.Second)
		l.pace += (gap - l.pace) / 16
	}
	l.lastEnd = now
	if len(l.tickets) == 0 {
		return
	}
	first := l.tickets[0]
	l.tickets = l.tickets[1:]
	close(first.ready)
}

// Length returns the number of requests of a service that wait.
func (r *Room) Length(name settings.ServiceName) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.line(name).tickets)
}

// RetryAfter returns when a client should come back whose request waited in vain.
func (r *Room) RetryAfter(name settings.ServiceName) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.line(name)
	return clamp(time.Duration(len(l.tickets)+1) * l.pace)
}

func clamp(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// NoUpstreamTime returns how long a request waits while its service has no upstream.
func NoUpstreamTime(left time.Duration) time.Duration { return min(noUpstreamTime, left/4) }
