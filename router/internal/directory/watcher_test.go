package directory

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/polling"
	"rattantrack.dev/core/revision"
)

// fixedClock is a clock that stands still.
type fixedClock struct{ now clock.Instant }

func (c *fixedClock) Now() clock.Instant { return c.now }

// noRouters is a fleet whose other routers have reported nothing.
type noRouters struct{}

func (noRouters) Pollers() []polling.Candidate     { return nil }
func (noRouters) LastDirectoryRead() clock.Instant { return 0 }

// TestFailedReadsOfALargeFleetAreNotRepeatedByAll guards against 300 routers that started together and read the complete directory again
// and again, each time too slowly for all.
func TestFailedReadsOfALargeFleetAreNotRepeatedByAll(t *testing.T) {
	c := qt.New(t)
	clk := &fixedClock{now: clock.Instant(time.Hour)}
	others := true
	w := &Watcher{
		Routers: noRouters{}, Store: &revision.Store{}, Members: &members.Registry{}, Clock: clk, Log: log.New(io.Discard),
		LeaveToOthers: func() bool { return others },
	}
	c.Assert(w.shouldPoll(), qt.IsTrue)
	w.failedAt = clk.now
	c.Assert(w.shouldPoll(), qt.IsFalse)
	others = false
	c.Assert(w.shouldPoll(), qt.IsTrue)
	others = true
	clk.now = clk.now.Add(othersTime)
	c.Assert(w.shouldPoll(), qt.IsTrue)
}
