package connections

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

const now = clock.Instant(time.Hour)

func ago(d time.Duration) clock.Instant { return now.Add(-d) }

func TestServingConnectionIsClosed(t *testing.T) {
	c := qt.New(t)
	serving := Connection{Serving: true, Served: true, LastRead: ago(time.Minute)}
	c.Assert(Victim(now, []Connection{serving, serving}), qt.Equals, -1)
	c.Assert(Victim(now, []Connection{serving, {LastRead: now}}), qt.Equals, 1)
	c.Assert(Victim(now, nil), qt.Equals, -1)
}

func TestConnectionOfReturningClientGoesBeforeUnusedOne(t *testing.T) {
	c := qt.New(t)
	idle := Connection{Served: true, LastRead: ago(time.Minute)}
	c.Assert(Victim(now, []Connection{idle, {LastRead: ago(2 * time.Second)}, {LastRead: ago(3 * time.Second)}}), qt.Equals, 2)
}

// TestNewConnectionGoesBeforeIdleOne guards against closing a connection whose client has had no time to send its request.
func TestNewConnectionGoesBeforeIdleOne(t *testing.T) {
	c := qt.New(t)
	idle := Connection{Served: true, LastRead: ago(time.Minute)}
	c.Assert(Victim(now, []Connection{{LastRead: now}, idle, {LastRead: ago(time.Millisecond)}}), qt.Equals, 1)
}

// TestTricklingConnectionOutlivesBusyOne guards against closing the connection of a client that sends its request at a good pace.
func TestTricklingConnectionOutlivesBusyOne(t *testing.T) {
	c := qt.New(t)
	c.Assert(Victim(now, []Connection{{LastRead: ago(time.Millisecond)}, {LastRead: ago(400 * time.Millisecond)}}), qt.Equals, 1)
}
