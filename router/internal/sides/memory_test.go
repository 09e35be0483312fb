package sides

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
)

// TestBufferedAnswersTakeAllMemory guards against keeping the answers of all calls until they are complete.
func TestBufferedAnswersTakeAllMemory(t *testing.T) {
	c := qt.New(t)
	const chunk = 256 << 10
	b := &memorybudget.Budget{Limit: 4 * chunk}
	kept := 0
	var all []*progress
	for range 8 {
		p := &progress{sink: &textSink{}, memory: b.Open(), clock: clock.Boot{}}
		all = append(all, p)
		err := p.writeChunk(make([]byte, chunk), false)
		var full *memorybudget.FullError
		if !errors.As(err, &full) {
			c.Assert(err, qt.IsNil)
			kept++
		}
	}
	c.Assert(kept, qt.Equals, 3)
	c.Assert(b.Status().Used, qt.Equals, int64(3*chunk))
	for _, p := range all {
		p.discardUnsent()
	}
	c.Assert(b.Status().Used, qt.Equals, int64(0))
}

// quietSide answers nothing.
type quietSide struct{}

func (quietSide) Serve(ctx context.Context, _ *peer.Stream, _ peer.Message) { <-ctx.Done() }

// linkToSide returns a link to a side that answers nothing.
func linkToSide(t *testing.T) *peer.Link {
	t.Helper()
	c := qt.New(t)
	allow, err := peer.ParseNetworks([]string{"127.0.0.0/8"})
	c.Assert(err, qt.IsNil)
	hello := func() peer.Hello { return peer.Hello{Protocol: peer.ProtocolVersion, ID: "test"} }
	side := &peer.Endpoint{LocalHello: hello, Handler: quietSide{}, Allow: allow}
	router := &peer.Endpoint{LocalHello: hello, Handler: quietSide{}, Allow: allow}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- side.Listen(ctx, ln) }()
	t.Cleanup(func() {
		cancel()
		router.Close()
		side.Close()
		c.Check(<-done, qt.IsNil)
	})
	l, err := router.Dial(ctx, ln.Addr().String())
	c.Assert(err, qt.IsNil)
	return l
}

// TestSubmissionOfGoneCallerHoldsMemory guards against memory that is given back while a link still holds the body, or never.
func TestSubmissionOfGoneCallerHoldsMemory(t *testing.T) {
	const body = 1 << 20
	for _, linkEnds := range []bool{false, true} {
		t.Run(fmt.Sprintf("link ends %v", linkEnds), func(t *testing.T) {
			c := qt.New(t)
			b := &memorybudget.Budget{Limit: 8 * body}
			d := &Dispatcher{Clock: clock.Boot{}}
			call := &Call{Memory: b.Open()}
			c.Assert(call.Memory.Grow(0, body), qt.IsNil)
			link := linkToSide(t)
			st, err := d.open(context.Background(), call, link, &peer.Submit{Body: make([]byte, body)})
			c.Assert(err, qt.IsNil)
			st.Close()
			call.Memory.Close()
			if linkEnds {
				link.Close(nil)
			}
			for range 500 {
				if b.Status().Used == 0 {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Fatalf("%d bytes are held", b.Status().Used)
		})
	}
}

// TestSubmissionWithoutMemoryIsSent guards against frames beyond the memory, and against bytes of one that was not made.
func TestSubmissionWithoutMemoryIsSent(t *testing.T) {
	c := qt.New(t)
	const body = 1 << 20
	b := &memorybudget.Budget{Limit: 3 * body}
	c.Assert(b.Open().Grow(0, body), qt.IsNil)
	d := &Dispatcher{Clock: clock.Boot{}}
	call := &Call{Memory: b.Open()}
	c.Assert(call.Memory.Grow(0, body), qt.IsNil)
	link := linkToSide(t)
	_, err := d.open(context.Background(), call, link, &peer.Submit{Body: make([]byte, body)})
	var full *memorybudget.FullError
	c.Assert(errors.As(err, &full), qt.IsTrue)
	c.Assert(link.OpenStreams(), qt.Equals, int64(0))
	call.Memory.Close()
	c.Assert(b.Status().Used, qt.Equals, int64(body))
}
