package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// unwritableConn is a connection that fails to be written to, and whose end has not arrived.
type unwritableConn struct {
	net.Conn
	failed chan struct{}
}

var errUnwritable = errors.New("unwritable")

func (c *unwritableConn) Write([]byte) (int, error) {
	close(c.failed)
	return 0, errUnwritable
}

// TestStreamThatWasNeverSentIsInDoubt guards against streams that are opened on a link that cannot be written to any more, are never sent, and yet
// are in doubt.
func TestStreamThatWasNeverSentIsInDoubt(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	dialler, _ := linkPair(t)
	failed := make(chan struct{})
	dialler.conn = &unwritableConn{Conn: dialler.conn, failed: failed}
	dialler.Serve(nil)
	first, err := dialler.Open(ctx, &Submit{})
	c.Assert(err, qt.IsNil)
	defer first.Close()
	<-failed
	time.Sleep(lastReadTime / 4)
	second, err := dialler.Open(ctx, &Submit{})
	if err == nil {
		defer second.Close()
		_, err = second.Receive(ctx)
	}
	var retired *RetiredError
	var unreceived *NotReceivedError
	c.Check(errors.As(err, &retired) || errors.As(err, &unreceived), qt.IsTrue, qt.Commentf("%v", err))
	// A part of the first one may have been sent.
	_, err = first.Receive(ctx)
	c.Check(errors.As(err, &unreceived), qt.IsFalse)
	c.Check(errors.Is(err, errUnwritable), qt.IsTrue, qt.Commentf("%v", err))
}
