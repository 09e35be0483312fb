package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// unwritableConn is a connection that fails to be written to from the first write that holds a part of a stream, and whose end has not arrived.
type unwritableConn struct {
	net.Conn
	failed chan struct{}
}

var errUnwritable = errors.New("unwritable")

func (c *unwritableConn) Write(b []byte) (int, error) {
	if !holdsStream(b) {
		return c.Conn.Write(b)
	}
	close(c.failed)
	return 0, errUnwritable
}

// holdsStream reports whether one of the frames belongs to a stream. A heartbeat does not.
func holdsStream(frames []byte) bool {
	r := bytes.NewReader(frames)
	for {
		h, err := readHeader(r, MaxFrameBytes)
		if err != nil {
			return false
		}
		if h.id != 0 {
			return true
		}
		if _, err := r.Seek(int64(h.size), io.SeekCurrent); err != nil {
			return false
		}
	}
}

// TestStreamThatWasNeverSentIsInDoubt guards against streams that are opened on a link that cannot be written to any more, are never sent, and yet
// are in doubt.
func TestStreamThatWasNeverSentIsInDoubt(t *testing.T) {
	tests := []struct {
		name string
		// before, if not nil, is called before the first stream is opened.
		before func(ctx context.Context, l *Link) error
	}{
		{name: "the stream is opened at once"},
		{name: "a heartbeat is written alone before", before: writeHeartbeat},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			dialler, _ := linkPair(t)
			failed := make(chan struct{})
			dialler.conn = &unwritableConn{Conn: dialler.conn, failed: failed}
			dialler.Serve(nil)
			if tt.before != nil {
				c.Assert(tt.before(ctx, dialler), qt.IsNil)
			}
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
		})
	}
}

// writeHeartbeat waits until a heartbeat has been written in a write of its own.
func writeHeartbeat(ctx context.Context, l *Link) error {
	written := make(chan struct{})
	if err := l.enqueue(ctx, outgoing{m: &Ping{}, written: written}); err != nil {
		return err
	}
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
