package exchange

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
)

// numbers is a section whose changes are numbered bytes.
type numbers struct {
	version, lowest, resume peer.StateVersion
	digest                  uint64
	bulky                   bool
}

func (n *numbers) ID() peer.SectionID                     { return 1 }
func (n *numbers) Name() string                           { return "numbers" }
func (n *numbers) Version() peer.StateVersion             { return n.version }
func (n *numbers) Urgent() peer.StateVersion              { return n.version }
func (n *numbers) Digest() uint64                         { return n.digest }
func (n *numbers) Resume(clock.Instant) peer.StateVersion { return n.resume }
func (n *numbers) Bulky() bool                            { return n.bulky }

func (n *numbers) Since(_ clock.Instant, after peer.StateVersion, _ string) (Changes, bool) {
	if after < n.lowest {
		return Changes{}, false
	}
	return Changes{To: n.version, Data: []byte{byte(after)}}, true
}

func (n *numbers) Full(clock.Instant, uint64) Changes {
	return Changes{To: n.version, Data: []byte("full")}
}

func (n *numbers) Apply(clock.Instant, string, peer.StateSection) error { return nil }

// TestWhatAReceiverGets guards against complete states for routers that need only the changes, and against changes that are never sent.
func TestWhatAReceiverGets(t *testing.T) {
	section := &numbers{version: 9, lowest: 3, resume: 7, digest: 5, bulky: true}
	tests := []struct {
		name    string
		at      place
		settled bool
		to      peer.StateVersion
		full    bool
		data    string
	}{
		{"nothing before the receiver has stated its place", place{}, true, 0, false, ""},
		{"the changes after those that it has acknowledged", place{known: true, acked: 4, digest: 1}, true, 9, false, "\x04"},
		{"everything if these are no longer known", place{known: true, acked: 2, digest: 1}, true, 9, true, "full"},
		{"the latest changes if it has the same state", place{known: true, digest: 5}, true, 9, false, "\x07"},
		{"the latest changes until the states have settled", place{known: true, digest: 1}, false, 0, false, "\x07"},
		{"everything if it joins", place{known: true, digest: 0}, true, 9, true, "full"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			got := encode(clock.Instant(time.Hour), section, tt.at, section.digest, tt.settled, "r2")
			c.Assert(got.To, qt.Equals, tt.to)
			c.Assert(got.Full, qt.Equals, tt.full)
			c.Assert(string(got.Data), qt.Equals, tt.data)
		})
	}
}

func TestDifferentStatesSettle(t *testing.T) {
	c := qt.New(t)
	now := clock.Instant(time.Hour)
	p := place{digest: 1}
	c.Assert(p.settled(now, 2), qt.IsFalse)
	c.Assert(p.settled(now.Add(settleTime-1), 2), qt.IsFalse)
	c.Assert(p.settled(now.Add(settleTime), 2), qt.IsTrue)
	c.Assert(p.settled(now.Add(settleTime), 1), qt.IsTrue)
	c.Assert(p.settled(now.Add(settleTime), 2), qt.IsFalse)
	joins := place{}
	c.Assert(joins.settled(now, 2), qt.IsTrue)
}

// TestRestartedNeighbourStartsFromNothing guards against acknowledgements of the process before.
func TestRestartedNeighbourStartsFromNothing(t *testing.T) {
	c := qt.New(t)
	var n neighbour
	n.meet("first")
	n.place(1).acked = 7
	n.meet("first")
	c.Assert(n.place(1).acked, qt.Equals, peer.StateVersion(7))
	n.meet("second")
	c.Assert(n.place(1).acked, qt.Equals, peer.StateVersion(0))
}
