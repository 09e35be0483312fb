package memorybudget

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattantrack.dev/core/clock"
)

const (
	testLimit = 1 << 20
	start     = clock.Instant(time.Hour)
)

func isFull(err error) bool {
	var full *FullError
	return errors.As(err, &full)
}

func isEvicted(err error) bool {
	var evicted *EvictedError
	return errors.As(err, &evicted)
}

// receive opens a lease that is being received and holds n bytes; evictions counts its evictions.
func receive(b *Budget, now clock.Instant, n int64, evictions *int) (*Lease, error) {
	l := b.Open()
	l.Receive(now, func() { *evictions++ })
	err := l.Grow(now, n)
	l.Progress(now, int(n))
	return l, err
}

func TestRequestsTogetherExceedLimit(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Limit: testLimit}
	evictions := 0
	for range 3 {
		_, err := receive(b, start, testLimit/4, &evictions)
		c.Assert(err, qt.IsNil)
	}
	_, err := receive(b, start, testLimit/4, &evictions)
	c.Assert(isFull(err), qt.IsTrue)
	c.Assert(evictions, qt.Equals, 0)
	c.Assert(b.Status().Used, qt.Equals, int64(3*testLimit/4))
}

func TestLargeRequestsKeepSmallOnesOut(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Limit: testLimit}
	evictions := 0
	for range 3 {
		_, err := receive(b, start, testLimit/4, &evictions)
		c.Assert(err, qt.IsNil)
	}
	for range testLimit / 4 / SmallBytes {
		_, err := receive(b, start, SmallBytes, &evictions)
		c.Assert(err, qt.IsNil)
	}
	_, err := receive(b, start, 1, &evictions)
	c.Assert(isFull(err), qt.IsTrue)
}

func TestStalledRequestsKeepOthersOut(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Limit: testLimit}
	first, second := 0, 0
	stalled, err := receive(b, start, testLimit/2, &first)
	c.Assert(err, qt.IsNil)
	now := start.Add(stallTime / 2)
	later, err := receive(b, now, testLimit/4, &second)
	c.Assert(err, qt.IsNil)
	now = start.Add(stallTime)
	_, err = receive(b, now, testLimit/2, new(int))
	c.Assert(err, qt.IsNil)
	c.Assert([]int{first, second}, qt.DeepEquals, []int{1, 0})
	c.Assert(isEvicted(stalled.Received()), qt.IsTrue)
	c.Assert(isEvicted(stalled.Grow(now, 1)), qt.IsTrue)
	c.Assert(later.Received(), qt.IsNil)
	stalled.Close()
	c.Assert(b.Status().Used, qt.Equals, int64(3*testLimit/4))
}

// TestTricklingRequestKeepsOthersOut guards against taking single bytes for progress.
func TestTricklingRequestKeepsOthersOut(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Limit: testLimit}
	evictions := 0
	l, err := receive(b, start, 3*testLimit/4, &evictions)
	c.Assert(err, qt.IsNil)
	now := start
	for range 20 {
		now = now.Add(stallTime / 10)
		l.Progress(now, 1)
	}
	_, err = receive(b, now, testLimit/4, new(int))
	c.Assert(err, qt.IsNil)
	c.Assert(evictions, qt.Equals, 1)
}

func TestSteadyRequestIsEvicted(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Limit: testLimit}
	evictions := 0
	l, err := receive(b, start, 3*testLimit/4, &evictions)
	c.Assert(err, qt.IsNil)
	now := start
	for range 100 {
		now = now.Add(stallTime / 10)
		l.Progress(now, minRate/10)
	}
	_, err = receive(b, now, testLimit/4, new(int))
	c.Assert(isFull(err), qt.IsTrue)
	c.Assert(evictions, qt.Equals, 0)
}

// TestReceivedRequestIsEvicted guards against turning away a request that an upstream may already work on.
func TestReceivedRequestIsEvicted(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Limit: testLimit}
	evictions := 0
	l, err := receive(b, start, 3*testLimit/4, &evictions)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Received(), qt.IsNil)
	_, err = receive(b, start.Add(time.Minute), testLimit/2, new(int))
	c.Assert(isFull(err), qt.IsTrue)
	c.Assert(evictions, qt.Equals, 0)
}

func TestLoneRequestAboveLimitIsRefused(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Limit: testLimit}
	small, err := receive(b, start, SmallBytes, new(int))
	c.Assert(err, qt.IsNil)
	l, err := receive(b, start, 4*testLimit, new(int))
	c.Assert(err, qt.IsNil)
	c.Assert(l.Grow(start, testLimit), qt.IsNil)
	second, err := receive(b, start, testLimit, new(int))
	c.Assert(isFull(err), qt.IsTrue)
	second.Close()
	l.Close()
	small.Close()
	c.Assert(b.Status(), qt.DeepEquals, Status{Limit: testLimit, Refused: 1})
}

// TestRetainedMemoryIsGivenBackEarly guards against counting memory as free that something outside the request still uses.
func TestRetainedMemoryIsGivenBackEarly(t *testing.T) {
	c := qt.New(t)
	b := &Budget{Limit: testLimit}
	l := b.Open()
	c.Assert(l.Grow(start, 100), qt.IsNil)
	l.Retain()
	l.Close()
	c.Assert(b.Status().Used, qt.Equals, int64(100))
	l.Shrink(60)
	c.Assert(b.Status().Used, qt.Equals, int64(40))
	l.Close()
	c.Assert(b.Status().Used, qt.Equals, int64(0))
}

// TestClosedLeasesLeaveMemoryHeld guards against a bound that closes for good.
func TestClosedLeasesLeaveMemoryHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Limit: testLimit}
		now := start
		var leases []*Lease
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if len(leases) == 0 || rapid.Bool().Draw(t, "open") {
				l := b.Open()
				l.Receive(now, func() {})
				leases = append(leases, l)
			}
			i := rapid.IntRange(0, len(leases)-1).Draw(t, "lease")
			l := leases[i]
			switch rapid.IntRange(0, 4).Draw(t, "call") {
			case 0:
				_ = l.Grow(now, int64(rapid.IntRange(0, testLimit).Draw(t, "bytes")))
			case 1:
				l.Progress(now, rapid.IntRange(0, SmallBytes).Draw(t, "progress"))
			case 2:
				_ = l.Received()
			case 3:
				l.Shrink(int64(rapid.IntRange(0, testLimit).Draw(t, "bytes")))
			case 4:
				l.Close()
				leases = append(leases[:i], leases[i+1:]...)
			}
			var sum, largest int64
			for _, l := range leases {
				sum += l.bytes
				largest = max(largest, l.bytes)
			}
			if got := b.Status().Used; got != sum {
				t.Fatalf("used %d, leases hold %d", got, sum)
			}
			// Only one request at a time may exceed the limit.
			if sum-largest > testLimit {
				t.Fatalf("requests hold %d, the largest %d, limit %d", sum, largest, testLimit)
			}
		}
		for _, l := range leases {
			l.Close()
		}
		if got := b.Status(); got.Used != 0 || got.Receiving != 0 {
			t.Fatalf("held after all have ended: %+v", got)
		}
	})
}
