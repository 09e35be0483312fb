package waiting

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Times and sizes of a queue.
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

// Waiter is a request that waits.
type Waiter struct {
	Rank int
	// Deadline is when the request stops waiting.
	Deadline clock.Instant
	arrived  uint64
	ready    chan struct{}
}

// Ready is closed when the request should be placed again.
func (t *Waiter) Ready() <-chan struct{} { return t.ready }

// Refusal says why a request does not wait and when its client should come back.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// queue is the requests of one service that wait, the most urgent first and then in order of arrival.
type queue struct {
	waiters []*Waiter
	// pace is the mean time between the ends of requests here.
	pace    time.Duration
	lastEnd clock.Instant
}

// Queues keeps the queues of all services; its zero value is empty. It answers bursts above what the upstreams can hold:
// a short burst waits, the most urgent first, and once the queue is longer than a request can stand, the rest is refused
// at once and told when it will have emptied.
type Queues struct {
	mu      sync.Mutex
	queues  map[settings.ServiceName]*queue
	arrival uint64
}

func (q *Queues) queue(name settings.ServiceName) *queue {
	if q.queues == nil {
		q.queues = make(map[settings.ServiceName]*queue)
	}
	l := q.queues[name]
	if l == nil {
		l = &queue{pace: defaultPace}
		q.queues[name] = l
	}
	return l
}

// Enter puts a request in the queue, or refuses it where its turn would come too late.
func (q *Queues) Enter(now clock.Instant, name settings.ServiceName, t *Waiter) *Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.queue(name)
	ahead := 0
	for _, other := range l.waiters {
		if other.Rank <= t.Rank {
			ahead++
		}
	}
	wait := time.Duration(ahead+1) * l.pace
	if len(l.waiters) >= maxWaiting || now.Add(wait) > t.Deadline {
		return &Refusal{Reason: "queue_too_long", RetryAfter: clamp(wait)}
	}
	q.arrival++
	t.arrived = q.arrival
	t.ready = make(chan struct{})
	l.waiters = append(l.waiters, t)
	slices.SortStableFunc(l.waiters, func(x, y *Waiter) int {
		return cmp.Or(cmp.Compare(x.Rank, y.Rank), cmp.Compare(x.arrived, y.arrived))
	})
	return nil
}

// Leave takes a request out of its queue.
func (q *Queues) Leave(name settings.ServiceName, t *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.queue(name)
	l.waiters = slices.DeleteFunc(l.waiters, func(other *Waiter) bool { return other == t })
}

// RequestEnded notes that a request of the service has ended, and wakes the first in its queue.
func (q *Queues) RequestEnded(now clock.Instant, name settings.ServiceName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.queue(name)
	if l.lastEnd != 0 {
		gap := min(now.Sub(l.lastEnd), time.Second)
		l.pace += (gap - l.pace) / 16
	}
	l.lastEnd = now
	if len(l.waiters) == 0 {
		return
	}
	first := l.waiters[0]
	l.waiters = l.waiters[1:]
	close(first.ready)
}

// Length returns the number of requests of a service that wait.
func (q *Queues) Length(name settings.ServiceName) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.queue(name).waiters)
}

// RetryAfter returns when a client should come back whose request waited in vain.
func (q *Queues) RetryAfter(name settings.ServiceName) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.queue(name)
	return clamp(time.Duration(len(l.waiters)+1) * l.pace)
}

func clamp(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// NoUpstreamWait returns how long a request waits while its service has no upstream.
func NoUpstreamWait(left time.Duration) time.Duration { return min(noUpstreamTime, left/4) }
