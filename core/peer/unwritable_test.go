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

// TestUnwritableLinkOpensStreams guards against streams that are never sent and yet in doubt, since the link on which they are opened cannot be
// written to any more.
func TestUnwritableLinkOpensStreams(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	dialler, _ := linkPair(t)
	failed := make(chan struct{})
	dialler.conn = &unwritableConn{Conn: dialler.conn, failed: failed}
	dialler.Serve(nil)
	s, err := dialler.Open(ctx, &Submit{})
	c.Assert(err, qt.IsNil)
	defer s.Close()
	<-failed
	time.Sleep(lastReadTime / 4)
	_, err = dialler.Open(ctx, &Submit{})
	var retired *RetiredError
	c.Assert(errors.As(err, &retired), qt.IsTrue, qt.Commentf("%v", err))
}
