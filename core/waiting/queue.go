package waiting

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Limits and times of a queue.
const (
	// maxWaiters limits the waiting requests of one service at one router.
	maxWaiters = 256
	// maxReturns limits the remembered returns of clients of one service.
	maxReturns = 1024
	// maxNoUpstreamWait limits the wait of a request whose service has no upstream. A directory entry or a connection that
	// is about to return takes less time.
	maxNoUpstreamWait = 300 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the time after which a refused client should retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// defaultEndInterval is the assumed time between the ends of two requests before any has been measured.
	defaultEndInterval = 20 * time.Millisecond
)

// Waiter is a waiting request.
type Waiter struct {
	// Rank is the urgency of the request, where 0 is the most urgent.
	Rank int
	// Deadline is when the request stops waiting.
	Deadline clock.Instant
	arrived  uint64
	ready    chan struct{}
}

// Ready returns a channel that is closed when the request should be placed again.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Refusal is the reason why a request may not wait and the time after which its client should retry.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// serviceQueue holds the waiting requests of one service, the most urgent first and then in order of arrival.
type serviceQueue struct {
	waiters []*Waiter
	// endInterval is the moving average of the time between the ends of requests.
	endInterval time.Duration
	lastEnd     clock.Instant
	// returns holds when the clients that were sent away are told to come back, in ascending order.
	returns []clock.Instant
}

// Queues holds the queues of all services; the zero value is empty and ready to use. When a burst exceeds the capacity of
// the upstreams, requests wait, the most urgent first. A request that could not start before its deadline, or finds the queue
// full, is refused at once with the time after which the queue is expected to have room.
type Queues struct {
	mu      sync.Mutex
	queues  map[settings.ServiceName]*serviceQueue
	arrival uint64
}

func (q *Queues) ofService(name settings.ServiceName) *serviceQueue {
	if q.queues == nil {
		q.queues = make(map[settings.ServiceName]*serviceQueue)
	}
	queue := q.queues[name]
	if queue == nil {
		queue = &serviceQueue{endInterval: defaultEndInterval}
		q.queues[name] = queue
	}
	return queue
}

// Enter adds a request to its service's queue, or refuses it if it would start too late.
func (q *Queues) Enter(now clock.Instant, name settings.ServiceName, w *Waiter) *Refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.ofService(name)
	ahead := 0
	for _, other := range queue.waiters {
		if other.Rank <= w.Rank {
			ahead++
		}
	}
	wait := time.Duration(ahead+1) * queue.endInterval
	if len(queue.waiters) >= maxWaiters || now.Add(wait) > w.Deadline {
		return &Refusal{Reason: "queue_too_long", RetryAfter: queue.retryAfter(now, ahead+1)}
	}
	if w.arrived == 0 {
		q.arrival++
		w.arrived = q.arrival
	}
	w.ready = make(chan struct{})
	queue.waiters = append(queue.waiters, w)
	slices.SortStableFunc(queue.waiters, func(x, y *Waiter) int {
		return cmp.Or(cmp.Compare(x.Rank, y.Rank), cmp.Compare(x.arrived, y.arrived))
	})
	return nil
}

// Leave removes a request from its queue.
func (q *Queues) Leave(name settings.ServiceName, w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.ofService(name)
	queue.waiters = slices.DeleteFunc(queue.waiters, func(other *Waiter) bool { return other == w })
}

// RequestEnded records that a request of the service has ended, and wakes the first waiter.
func (q *Queues) RequestEnded(now clock.Instant, name settings.ServiceName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.ofService(name)
	if queue.lastEnd != 0 {
		gap := min(now.Sub(queue.lastEnd), time.Second)
		queue.endInterval += (gap - queue.endInterval) / 16
	}
	queue.lastEnd = now
	queue.wakeFirst()
}

// WakeFirst wakes the first waiter, whose request may find room although none has ended.
func (q *Queues) WakeFirst(name settings.ServiceName) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ofService(name).wakeFirst()
}

func (q *serviceQueue) wakeFirst() {
	if len(q.waiters) == 0 {
		return
	}
	first := q.waiters[0]
	q.waiters = q.waiters[1:]
	close(first.ready)
}

// Length returns the number of waiting requests of a service.
func (q *Queues) Length(name settings.ServiceName) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.ofService(name).waiters)
}

// RetryAfter returns the time after which a client should retry whose request has waited without success.
func (q *Queues) RetryAfter(now clock.Instant, name settings.ServiceName) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue := q.ofService(name)
	return queue.retryAfter(now, len(queue.waiters)+1)
}

// retryAfter returns when there should be room for a request with ahead others to serve before it, and notes its return. Those that were
// sent away before have their turn first, so that clients come back one after the other, as requests end.
func (q *serviceQueue) retryAfter(now clock.Instant, ahead int) time.Duration {
	due, _ := slices.BinarySearch(q.returns, now)
	q.returns = slices.Delete(q.returns, 0, due)
	wait := time.Duration(ahead+len(q.returns)) * q.endInterval
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	if len(q.returns) < maxReturns {
		at := now.Add(wait)
		i, _ := slices.BinarySearch(q.returns, at)
		q.returns = slices.Insert(q.returns, i, at)
	}
	return wait
}

// NoUpstreamWait returns how long a request waits while its service has no upstream, at most a quarter of the time that remains.
func NoUpstreamWait(remaining time.Duration) time.Duration {
	return min(maxNoUpstreamWait, remaining/4)
}
