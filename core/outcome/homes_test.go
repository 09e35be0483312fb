package outcome

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

const lifetime = 10 * time.Minute

func at(d time.Duration) clock.Instant { return clock.Instant(24*time.Hour + d) }

func set(ids ...settings.UpstreamID) *rendezvous.Set { return rendezvous.New(ids) }

// keyOf returns a key whose home is from in the first set and to in the second.
func keyOf(first, second *rendezvous.Set, from, to settings.UpstreamID) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		a, _ := first.Home(HashKey(key))
		b, _ := second.Home(HashKey(key))
		if a == from && b == to {
			return key
		}
	}
}

// begin puts the first set in force and lets every other side speak up.
func begin(h *Primaries, first *rendezvous.Set) {
	h.Apply(at(-time.Second), Change{Revision: 1, Set: first})
	for _, id := range first.IDs() {
		h.AddReleaseAck(at(-time.Second), id, 1, 1, true)
	}
}

func TestSkippedVersionsNeedEveryonesWord(t *testing.T) {
	c := qt.New(t)
	three := set("a", "b", "c")
	kept := keyOf(three, three, "b", "b")
	h := &Primaries{Self: "b", Lifetime: lifetime, Started: at(-lifetime)}
	begin(h, three)
	c.Assert(h.Confirm(at(0), kept), qt.Equals, Confirmed)
	// Between revisions 1 and 5 another upstream came and went, and may have been home of any key.
	h.Apply(at(0), Change{Revision: 5, Set: three, Affected: []settings.UpstreamID{"d"}})
	c.Assert(h.Confirm(at(0), kept), qt.Equals, VouchUnsure)
	c.Assert(h.MissingAcks(at(0)), qt.DeepEquals, []Word{{"a", 5}, {"c", 5}, {"d", 5}})
	for _, id := range []settings.UpstreamID{"a", "c", "d"} {
		h.AddReleaseAck(at(0), id, 5, 5, true)
	}
	c.Assert(h.Confirm(at(0), kept), qt.Equals, Confirmed)
}

func TestNewSideHearsEveryOtherSideFirst(t *testing.T) {
	c := qt.New(t)
	two := set("a", "b")
	kept := keyOf(two, two, "b", "b")
	h := &Primaries{Self: "b", Lifetime: lifetime, Started: at(-lifetime)}
	h.Apply(at(0), Change{Revision: 1, Set: two})
	c.Assert(h.Confirm(at(0), kept), qt.Equals, VouchUnsure)
	h.AddReleaseAck(at(0), "a", 1, 1, true)
	c.Assert(h.Confirm(at(0), kept), qt.Equals, Confirmed)
}

func TestVouchRulesOutEveryEarlierRun(t *testing.T) {
	three, two := set("a", "b", "c"), set("b", "c")
	moved, kept := keyOf(three, two, "a", "b"), keyOf(three, two, "b", "b")
	tests := map[string]struct {
		started clock.Instant
		setup   func(h *Primaries)
		key     string
		want    Vouch
	}{
		"young side":                              {at(0), nil, kept, VouchUnsure},
		"old side, own key":                       {at(-lifetime), nil, kept, Confirmed},
		"key moved, no word yet":                  {at(-lifetime), nil, moved, VouchUnsure},
		"key moved and released":                  {at(-lifetime), func(h *Primaries) { h.AddReleaseAck(at(0), "a", 2, 2, true) }, moved, Confirmed},
		"released by a side that could not vouch": {at(-lifetime), func(h *Primaries) { h.AddReleaseAck(at(0), "a", 2, 2, false) }, moved, VouchUnsure},
		"released at an older revision":           {at(-lifetime), func(h *Primaries) { h.AddReleaseAck(at(0), "a", 1, 1, true) }, moved, VouchUnsure},
		"released unvouched a lifetime ago":       {at(-2 * lifetime), func(h *Primaries) { h.AddReleaseAck(at(-lifetime), "a", 2, 2, false) }, moved, Confirmed},
		"old home destroyed just now": {at(-lifetime), func(h *Primaries) {
			h.Apply(at(0), Change{Revision: 3, Set: two, Destroyed: []settings.UpstreamID{"a"}, Exact: true})
		}, moved, VouchUnsure},
		"old home destroyed a lifetime ago": {at(-2 * lifetime), func(h *Primaries) { h.noteDestroyed(at(-lifetime), []settings.UpstreamID{"a"}) }, moved, Confirmed},
		"young side that reclaimed its own": {at(0), func(h *Primaries) { h.Reclaim() }, kept, Confirmed},
		"another side has a newer version":  {at(-lifetime), func(h *Primaries) { h.AddReleaseAck(at(0), "a", 2, 3, true) }, moved, VouchUnsure},
		"key of another home":               {at(-lifetime), nil, keyOf(three, two, "c", "c"), VouchNotHome},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Primaries{Self: "b", Lifetime: lifetime, Started: test.started}
			begin(h, three)
			h.Apply(at(0), Change{Revision: 2, Set: two, Exact: true})
			if test.setup != nil {
				test.setup(h)
			}
			qt.Assert(t, h.Confirm(at(0), test.key), qt.Equals, test.want)
		})
	}
}

func TestSidesThatWaitForEachOtherVouchInTheEnd(t *testing.T) {
	c := qt.New(t)
	three, two := set("a", "b", "c"), set("b", "c")
	b := &Primaries{Self: "b", Lifetime: lifetime, Started: at(-lifetime)}
	other := &Primaries{Self: "c", Lifetime: lifetime, Started: at(-lifetime)}
	for _, h := range []*Primaries{b, other} {
		begin(h, three)
		h.Apply(at(0), Change{Revision: 2, Set: two, Exact: true})
	}
	b.AddReleaseAck(at(0), "a", 2, 2, true)
	other.AddReleaseAck(at(0), "a", 2, 2, true)
	c.Assert(b.CoveredBefore(at(0), 2), qt.IsTrue)
	b.AddReleaseAck(at(0), "c", 2, 2, other.CoveredBefore(at(0), 2))
	c.Assert(b.Covered(at(0)), qt.IsTrue)
}

func TestManyChangesLeaveTheSideUnsure(t *testing.T) {
	c := qt.New(t)
	h := &Primaries{Self: "b", Lifetime: lifetime, Started: at(-lifetime)}
	begin(h, set("b"))
	for i := range maxEpochs + 3 {
		h.Apply(at(0), Change{Revision: settings.Revision(i + 2), Set: set("b", settings.UpstreamID(fmt.Sprint("x", i))), Exact: true})
	}
	h.Apply(at(0), Change{Revision: 100, Set: set("b"), Exact: true})
	c.Assert(h.Confirm(at(0), "k"), qt.Equals, VouchUnsure)
	c.Assert(h.Covered(at(0)), qt.IsFalse)
}

func TestKeyRunsOnceAndIsNeverForgottenWhileLive(t *testing.T) {
	c := qt.New(t)
	k := &Keys{MaxRecords: 2}
	r, step := k.Begin(at(0), "one", 7, lifetime)
	c.Assert(step, qt.Equals, StepRun)
	_, step = k.Begin(at(0), "one", 7, lifetime)
	c.Assert(step, qt.Equals, StepWait)
	_, step = k.Begin(at(0), "one", 8, lifetime)
	c.Assert(step, qt.Equals, StepBodyDiffers)
	k.Finish(at(time.Second), r, Answer{Status: 200, Body: []byte("ok")}, lifetime)
	again, step := k.Begin(at(2*time.Second), "one", 7, lifetime)
	c.Assert(step, qt.Equals, StepReplay)
	c.Assert(string(again.Answer.Body), qt.Equals, "ok")
	_, step = k.Begin(at(0), "two", 7, lifetime)
	c.Assert(step, qt.Equals, StepRun)
	_, step = k.Begin(at(3*time.Second), "three", 7, lifetime)
	c.Assert(step, qt.Equals, StepTableFull)
	_, step = k.Begin(at(lifetime+2*time.Second), "three", 7, lifetime)
	c.Assert(step, qt.Equals, StepRun)
}

func TestWithdrawnAttemptNeverStarts(t *testing.T) {
	c := qt.New(t)
	var a Attempts
	key := AttemptKey{Request: "r", Attempt: 1}
	started, certain := a.Withdraw(at(0), key, time.Minute)
	c.Assert(started, qt.IsFalse)
	c.Assert(certain, qt.IsTrue)
	c.Assert(a.Start(at(time.Second), key, time.Minute), qt.IsFalse)
	other := AttemptKey{Request: "r", Attempt: 2}
	c.Assert(a.Start(at(0), other, time.Minute), qt.IsTrue)
	started, _ = a.Withdraw(at(0), other, time.Minute)
	c.Assert(started, qt.IsTrue)
	c.Assert(a.Start(at(0), other, time.Minute), qt.IsFalse)
}
