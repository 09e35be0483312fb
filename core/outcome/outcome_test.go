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

// keyMoving returns a key whose primary is from in the first set and to in the second.
func keyMoving(first, second *rendezvous.Set, from, to settings.UpstreamID) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("key-", i)
		a, _ := first.Primary(HashKey(key))
		b, _ := second.Primary(HashKey(key))
		if a == from && b == to {
			return key
		}
	}
}

// applyAcknowledged applies the first set and adds the release acknowledgement of every other side.
func applyAcknowledged(p *Primaries, first *rendezvous.Set) {
	p.Apply(at(-time.Second), Change{Revision: 1, Set: first})
	for _, id := range first.IDs() {
		p.AddReleaseAck(at(-time.Second), id, 1, 1, true)
	}
}

func TestSkippedVersionsNeedAllAcks(t *testing.T) {
	c := qt.New(t)
	three := set("a", "b", "c")
	kept := keyMoving(three, three, "b", "b")
	p := &Primaries{Self: "b", Lifetime: lifetime, Started: at(-lifetime)}
	applyAcknowledged(p, three)
	c.Assert(p.Confirm(at(0), kept), qt.Equals, Confirmed)
	// Between revisions 1 and 5 upstream d was added and removed, and may have been primary of any key.
	p.Apply(at(0), Change{Revision: 5, Set: three, Affected: []settings.UpstreamID{"d"}})
	c.Assert(p.Confirm(at(0), kept), qt.Equals, Unconfirmed)
	c.Assert(p.MissingAcks(at(0)), qt.DeepEquals, []MissingAck{{"a", 5}, {"c", 5}, {"d", 5}})
	for _, id := range []settings.UpstreamID{"a", "c", "d"} {
		p.AddReleaseAck(at(0), id, 5, 5, true)
	}
	c.Assert(p.Confirm(at(0), kept), qt.Equals, Confirmed)
}

func TestNewSideNeedsAckFromEveryOtherSide(t *testing.T) {
	c := qt.New(t)
	two := set("a", "b")
	kept := keyMoving(two, two, "b", "b")
	p := &Primaries{Self: "b", Lifetime: lifetime, Started: at(-lifetime)}
	p.Apply(at(0), Change{Revision: 1, Set: two})
	c.Assert(p.Confirm(at(0), kept), qt.Equals, Unconfirmed)
	p.AddReleaseAck(at(0), "a", 1, 1, true)
	c.Assert(p.Confirm(at(0), kept), qt.Equals, Confirmed)
}

func TestConfirmRulesOutEarlierRuns(t *testing.T) {
	three, two := set("a", "b", "c"), set("b", "c")
	moved, kept := keyMoving(three, two, "a", "b"), keyMoving(three, two, "b", "b")
	tests := map[string]struct {
		started clock.Instant
		setup   func(p *Primaries)
		key     string
		want    Confirmation
	}{
		"recently started side":                 {at(0), nil, kept, Unconfirmed},
		"long-running side, own key":            {at(-lifetime), nil, kept, Confirmed},
		"moved key, no acknowledgement yet":     {at(-lifetime), nil, moved, Unconfirmed},
		"moved key, release acknowledged":       {at(-lifetime), func(p *Primaries) { p.AddReleaseAck(at(0), "a", 2, 2, true) }, moved, Confirmed},
		"acknowledged without coverage":         {at(-lifetime), func(p *Primaries) { p.AddReleaseAck(at(0), "a", 2, 2, false) }, moved, Unconfirmed},
		"acknowledged for an older revision":    {at(-lifetime), func(p *Primaries) { p.AddReleaseAck(at(0), "a", 1, 1, true) }, moved, Unconfirmed},
		"acknowledged uncovered a lifetime ago": {at(-2 * lifetime), func(p *Primaries) { p.AddReleaseAck(at(-lifetime), "a", 2, 2, false) }, moved, Confirmed},
		"previous primary destroyed just now": {at(-lifetime), func(p *Primaries) {
			p.Apply(at(0), Change{Revision: 3, Set: two, Destroyed: []settings.UpstreamID{"a"}, Consecutive: true})
		}, moved, Unconfirmed},
		"previous primary destroyed a lifetime ago":        {at(-2 * lifetime), func(p *Primaries) { p.recordDestroyed(at(-lifetime), []settings.UpstreamID{"a"}) }, moved, Confirmed},
		"recently started side that recovered its records": {at(0), func(p *Primaries) { p.MarkRecovered() }, kept, Confirmed},
		"another side has a newer version":                 {at(-lifetime), func(p *Primaries) { p.AddReleaseAck(at(0), "a", 2, 3, true) }, moved, Unconfirmed},
		"key of another primary":                           {at(-lifetime), nil, keyMoving(three, two, "c", "c"), NotPrimary},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Primaries{Self: "b", Lifetime: lifetime, Started: test.started}
			applyAcknowledged(p, three)
			p.Apply(at(0), Change{Revision: 2, Set: two, Consecutive: true})
			if test.setup != nil {
				test.setup(p)
			}
			qt.Assert(t, p.Confirm(at(0), test.key), qt.Equals, test.want)
		})
	}
}

func TestSidesWaitingForEachOtherDoNotDeadlock(t *testing.T) {
	c := qt.New(t)
	three, two := set("a", "b", "c"), set("b", "c")
	b := &Primaries{Self: "b", Lifetime: lifetime, Started: at(-lifetime)}
	other := &Primaries{Self: "c", Lifetime: lifetime, Started: at(-lifetime)}
	for _, p := range []*Primaries{b, other} {
		applyAcknowledged(p, three)
		p.Apply(at(0), Change{Revision: 2, Set: two, Consecutive: true})
	}
	b.AddReleaseAck(at(0), "a", 2, 2, true)
	other.AddReleaseAck(at(0), "a", 2, 2, true)
	c.Assert(b.CoveredBefore(at(0), 2), qt.IsTrue)
	b.AddReleaseAck(at(0), "c", 2, 2, other.CoveredBefore(at(0), 2))
	c.Assert(b.Covered(at(0)), qt.IsTrue)
}

func TestTooManyChangesPreventConfirmation(t *testing.T) {
	c := qt.New(t)
	p := &Primaries{Self: "b", Lifetime: lifetime, Started: at(-lifetime)}
	applyAcknowledged(p, set("b"))
	for i := range maxEpochs + 3 {
		p.Apply(at(0), Change{Revision: settings.Revision(i + 2), Set: set("b", settings.UpstreamID(fmt.Sprint("x", i))), Consecutive: true})
	}
	p.Apply(at(0), Change{Revision: 100, Set: set("b"), Consecutive: true})
	c.Assert(p.Confirm(at(0), "k"), qt.Equals, Unconfirmed)
	c.Assert(p.Covered(at(0)), qt.IsFalse)
}

func TestKeyRunsOnceAndIsKeptForItsLifetime(t *testing.T) {
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
