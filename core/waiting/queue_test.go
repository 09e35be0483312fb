package waiting

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

const ms = clock.Instant(time.Millisecond)

func woken(t *Waiter) bool {
	select {
	case <-t.Ready():
		return true
	default:
		return false
	}
}

func TestMostUrgentGoesFirstAndThenTheFirstCome(t *testing.T) {
	c := qt.New(t)
	var r Queues
	late := clock.Instant(time.Minute)
	first := &Waiter{Rank: 1, Deadline: late}
	second := &Waiter{Rank: 1, Deadline: late}
	urgent := &Waiter{Rank: 0, Deadline: late}
	for _, waiter := range []*Waiter{first, second, urgent} {
		c.Assert(r.Enter(ms, "letters", waiter), qt.IsNil)
	}
	for i, waiter := range []*Waiter{urgent, first, second} {
		c.Assert(woken(waiter), qt.IsFalse)
		r.RequestEnded(clock.Instant(i+2)*ms, "letters")
		c.Assert(woken(waiter), qt.IsTrue)
	}
	c.Assert(r.Length("letters"), qt.Equals, 0)
}

// TestBurstAboveTheCapacityIsRefusedAtOnce replays 400 requests at one moment at a service that ends one each 10 ms, with
// 400 ms to wait: those that can have their turn wait, the others are told at once when it will have emptied.
func TestBurstAboveTheCapacityIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	var r Queues
	now := clock.Instant(time.Second)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		r.RequestEnded(now, "letters")
	}
	waiting := 0
	for range 400 {
		refusal := r.Enter(now, "letters", &Waiter{Deadline: now.Add(400 * time.Millisecond)})
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
	var r Queues
	for range 40 {
		c.Assert(r.Enter(ms, "letters", &Waiter{Rank: 2, Deadline: clock.Instant(time.Second)}), qt.IsNil)
	}
	c.Assert(r.Enter(ms, "letters", &Waiter{Rank: 2, Deadline: 500 * ms}), qt.IsNotNil)
	c.Assert(r.Enter(ms, "letters", &Waiter{Rank: 0, Deadline: 500 * ms}), qt.IsNil)
}

func TestLeavingTheQueue(t *testing.T) {
	c := qt.New(t)
	var r Queues
	a, b := &Waiter{Deadline: clock.Instant(time.Second)}, &Waiter{Deadline: clock.Instant(time.Second)}
	c.Assert(r.Enter(ms, "letters", a), qt.IsNil)
	c.Assert(r.Enter(ms, "letters", b), qt.IsNil)
	r.Leave("letters", a)
	r.RequestEnded(2*ms, "letters")
	c.Assert(woken(a), qt.IsFalse)
	c.Assert(woken(b), qt.IsTrue)
}
