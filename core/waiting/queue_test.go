package waiting

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

const ms = clock.Instant(time.Millisecond)

func woken(w *Waiter) bool {
	select {
	case <-w.Ready():
		return true
	default:
		return false
	}
}

func TestMostUrgentGoesFirstThenInOrderOfArrival(t *testing.T) {
	c := qt.New(t)
	var queues Queues
	deadline := clock.Instant(time.Minute)
	first := &Waiter{Rank: 1, Deadline: deadline}
	second := &Waiter{Rank: 1, Deadline: deadline}
	urgent := &Waiter{Rank: 0, Deadline: deadline}
	for _, waiter := range []*Waiter{first, second, urgent} {
		c.Assert(queues.Enter(ms, "letters", waiter), qt.IsNil)
	}
	for i, waiter := range []*Waiter{urgent, first, second} {
		c.Assert(woken(waiter), qt.IsFalse)
		queues.RequestEnded(clock.Instant(i+2)*ms, "letters")
		c.Assert(woken(waiter), qt.IsTrue)
	}
	c.Assert(queues.Length("letters"), qt.Equals, 0)
}

// TestBurstAboveTheCapacityIsRefusedAtOnce sends 400 requests at once to a service that ends one every 10 ms. Each can wait
// for 400 ms: those that can start in time wait, the others are refused at once with a time to retry.
func TestBurstAboveTheCapacityIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	var queues Queues
	now := clock.Instant(time.Second)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		queues.RequestEnded(now, "letters")
	}
	waiting := 0
	for range 400 {
		refusal := queues.Enter(now, "letters", &Waiter{Deadline: now.Add(400 * time.Millisecond)})
		if refusal == nil {
			waiting++
			continue
		}
		c.Assert(refusal.RetryAfter >= 400*time.Millisecond, qt.IsTrue)
		c.Assert(refusal.RetryAfter <= maxRetryAfter, qt.IsTrue)
	}
	c.Assert(waiting >= 30 && waiting <= 41, qt.IsTrue, qt.Commentf("%d wait", waiting))
}

func TestUrgentRequestWaitsWhereOthersAreRefused(t *testing.T) {
	c := qt.New(t)
	var queues Queues
	for range 40 {
		c.Assert(queues.Enter(ms, "letters", &Waiter{Rank: 2, Deadline: clock.Instant(time.Second)}), qt.IsNil)
	}
	c.Assert(queues.Enter(ms, "letters", &Waiter{Rank: 2, Deadline: 500 * ms}), qt.IsNotNil)
	c.Assert(queues.Enter(ms, "letters", &Waiter{Rank: 0, Deadline: 500 * ms}), qt.IsNil)
}

func TestWaiterThatLeftIsNotWoken(t *testing.T) {
	c := qt.New(t)
	var queues Queues
	a, b := &Waiter{Deadline: clock.Instant(time.Second)}, &Waiter{Deadline: clock.Instant(time.Second)}
	c.Assert(queues.Enter(ms, "letters", a), qt.IsNil)
	c.Assert(queues.Enter(ms, "letters", b), qt.IsNil)
	queues.Leave("letters", a)
	queues.RequestEnded(2*ms, "letters")
	c.Assert(woken(a), qt.IsFalse)
	c.Assert(woken(b), qt.IsTrue)
}

// TestClientsSentAwayComeBackOneAfterTheOther guards against a crowd that is told the same time to come back: 100 requests that no
// queue can hold arrive at once, at a service that ends one request each 10 ms.
func TestClientsSentAwayComeBackOneAfterTheOther(t *testing.T) {
	c := qt.New(t)
	var queues Queues
	now := clock.Instant(time.Second)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		queues.RequestEnded(now, "letters")
	}
	windows := make(map[time.Duration]int)
	for range 100 {
		refusal := queues.Enter(now, "letters", &Waiter{Deadline: now})
		c.Assert(refusal, qt.IsNotNil)
		windows[refusal.RetryAfter/(100*time.Millisecond)]++
	}
	// Before the shortest time to come back ends, 20 requests end; afterwards one each 10 ms.
	for window, n := range windows {
		c.Assert(n <= 30, qt.IsTrue, qt.Commentf("%d come back in the tenth of a second from %v", n, window*100*time.Millisecond))
	}
	// Those that were due have had their turn.
	now = now.Add(maxRetryAfter)
	refusal := queues.Enter(now, "letters", &Waiter{Deadline: now})
	c.Assert(refusal.RetryAfter, qt.Equals, minRetryAfter)
}

// TestRequestKeepsItsPlaceWhilePlacedAgain guards against waiters that go to the end of the queue because their upstream had no
// room when they were woken.
func TestRequestKeepsItsPlaceWhilePlacedAgain(t *testing.T) {
	c := qt.New(t)
	var queues Queues
	first, second := &Waiter{Deadline: clock.Instant(time.Second)}, &Waiter{Deadline: clock.Instant(time.Second)}
	c.Assert(queues.Enter(ms, "letters", first), qt.IsNil)
	c.Assert(queues.Enter(ms, "letters", second), qt.IsNil)
	queues.RequestEnded(2*ms, "letters")
	c.Assert(woken(first), qt.IsTrue)
	c.Assert(queues.Enter(2*ms, "letters", first), qt.IsNil)
	queues.RequestEnded(3*ms, "letters")
	c.Assert(woken(first), qt.IsTrue)
	c.Assert(woken(second), qt.IsFalse)
}
