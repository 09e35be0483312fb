package memorybudget

import (
	"fmt"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
)

const (
	// reserveDivisor keeps this part of the limit for small requests, so that large ones cannot keep all others out.
	reserveDivisor = 4
	// SmallBytes is the most that a request holds that may use the reserve.
	SmallBytes = 64 << 10
	// stallTime is how far a request may fall behind minRate before it makes room for others.
	stallTime = time.Second
	// minRate is the rate in bytes a second below which a request counts as falling behind.
	minRate = 16 << 10
)

// FullError reports that there is no memory for a request now.
type FullError struct {
	// Bytes is what was asked for, Used what all requests hold, and Limit what they may hold.
	Bytes, Used, Limit int64
}

func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for %d bytes: requests hold %d of %d", e.Bytes, e.Used, e.Limit)
}

// EvictedError reports a request that came too slowly and has made room for another one.
type EvictedError struct{}

func (e *EvictedError) Error() string { return "request came too slowly while memory was short" }

// Budget bounds the memory of all requests of a process together. The zero value has no bound.
type Budget struct {
	// Limit is the memory in bytes, 0 for no bound.
	Limit int64

	mu        sync.Mutex
	used      int64
	evicted   int64
	refused   int64
	receiving map[*Lease]struct{}
}

// Lease is the memory that one request holds. Its methods may be called on a nil Lease, which has no bound.
type Lease struct {
	budget *Budget
	bytes  int64
	// users is how often Close must be called until the memory is given back.
	users int
	// evict makes the request fail while it is received. behind is the instant up to which the client has kept to minRate.
	evict   func()
	behind  clock.Instant
	evicted bool
}

// Open returns the lease of a new request, nil for a nil budget.
func (b *Budget) Open() *Lease {
	if b == nil {
		return nil
	}
	return &Lease{budget: b, users: 1}
}

// Retain keeps what the lease holds until Close has been called once more.
func (l *Lease) Retain() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.users++
}

// Receive marks the request as being received until Received is called. While that lasts, evict may be called, once and from another
// goroutine, to make room for other requests.
func (l *Lease) Receive(now clock.Instant, evict func()) {
	if l == nil {
		return
	}
	b := l.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.receiving == nil {
		b.receiving = make(map[*Lease]struct{})
	}
	l.evict, l.behind = evict, now
	b.receiving[l] = struct{}{}
}

// Progress records that n bytes have arrived.
func (l *Lease) Progress(now clock.Instant, n int) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	l.behind = min(now, l.behind.Add(time.Duration(n)*time.Second/minRate))
}

// Received ends the reception. It returns an EvictedError if the request has made room for another one.
func (l *Lease) Received() error {
	if l == nil {
		return nil
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	delete(l.budget.receiving, l)
	if l.evicted {
		return &EvictedError{}
	}
	return nil
}

// Grow adds n bytes to the lease, for which requests that have fallen behind may have to make room. It returns a FullError if there is
// no room, or an EvictedError if this request has made room itself.
func (l *Lease) Grow(now clock.Instant, n int64) error {
	if l == nil {
		return nil
	}
	victims, err := l.budget.grow(now, l, n)
	for _, v := range victims {
		v.evict()
	}
	return err
}

func (b *Budget) grow(now clock.Instant, l *Lease, n int64) (victims []*Lease, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.evicted {
		return nil, &EvictedError{}
	}
	for !b.fits(l, n) {
		v := b.slowest(now, l)
		if v == nil {
			b.refused++
			return victims, &FullError{Bytes: n, Used: b.used, Limit: b.Limit}
		}
		b.evict(v)
		victims = append(victims, v)
	}
	l.bytes += n
	b.used += n
	return victims, nil
}

// fits reports whether a lease may grow by n bytes.
func (b *Budget) fits(l *Lease, n int64) bool {
	reserve := b.Limit / reserveDivisor
	switch {
	case b.Limit <= 0 || b.used+n <= b.Limit-reserve:
		return true
	case l.bytes+n <= SmallBytes:
		return b.used+n <= b.Limit
	}
	// A request that is alone gets what it needs: limits on single requests are set elsewhere.
	return b.used-l.bytes <= reserve
}

// slowest returns the request other than l that has fallen furthest behind, nil if none has by stallTime.
func (b *Budget) slowest(now clock.Instant, l *Lease) *Lease {
	var found *Lease
	for v := range b.receiving {
		if v == l || v.bytes == 0 || now.Sub(v.behind) < stallTime {
			continue
		}
		if found == nil || v.behind.Before(found.behind) {
			found = v
		}
	}
	return found
}

// evict takes the memory of a lease. The request frees it shortly after.
func (b *Budget) evict(v *Lease) {
	v.evicted = true
	delete(b.receiving, v)
	b.used -= v.bytes
	v.bytes = 0
	b.evicted++
}

// Shrink gives n bytes back.
func (l *Lease) Shrink(n int64) {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	n = min(n, l.bytes)
	l.bytes -= n
	l.budget.used -= n
}

// Close gives back all that the lease holds, unless Retain was called and Close has not been since.
func (l *Lease) Close() {
	if l == nil {
		return
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	if l.users--; l.users > 0 {
		return
	}
	delete(l.budget.receiving, l)
	l.budget.used -= l.bytes
	l.bytes = 0
}

// Status is the state of a budget in dumps.
type Status struct {
	Limit     int64 `json:"limit_bytes"`
	Used      int64 `json:"used_bytes"`
	Receiving int   `json:"receiving"`
	Refused   int64 `json:"refused"`
	Evicted   int64 `json:"evicted"`
}

// Status returns the state of the budget, the zero value for a nil one.
func (b *Budget) Status() Status {
	if b == nil {
		return Status{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{Limit: b.Limit, Used: b.used, Receiving: len(b.receiving), Refused: b.refused, Evicted: b.evicted}
}
