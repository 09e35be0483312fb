package peer

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// serveFunc adapts a function to Handler.
type serveFunc func(ctx context.Context, s *Stream, m Message)

func (f serveFunc) Serve(ctx context.Context, s *Stream, m Message) { f(ctx, s, m) }

// listen serves h on loopback until the test ends and returns the address.
func listen(t *testing.T, h Handler, allow string) string {
	t.Helper()
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	e := newEndpoint(t, h, allow)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = e.Listen(ctx, ln)
	}()
	t.Cleanup(func() {
		cancel()
		e.Close()
		<-done
	})
	return ln.Addr().String()
}

func newEndpoint(t *testing.T, h Handler, allow string) *Endpoint {
	t.Helper()
	n, err := ParseNetworks([]string{allow})
	qt.Assert(t, err, qt.IsNil)
	e := &Endpoint{LocalHello: func() Hello { return Hello{Protocol: ProtocolVersion, ID: "test"} }, Handler: h, Allow: n}
	t.Cleanup(e.Close)
	return e
}

// verifyNoLeak checks after all other cleanups that the test leaves no goroutine.
func verifyNoLeak(t *testing.T) {
	t.Helper()
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
}

const loopback = "127.0.0.0/8"

// serveChunks replies to a Submit with as many chunks as its Offset.
func serveChunks(ctx context.Context, s *Stream, m Message) {
	submit, ok := m.(*Submit)
	if !ok {
		return
	}
	for i := uint32(1); i <= submit.Offset; i++ {
		if s.Send(ctx, &Chunk{Seq: i, Data: []byte("x")}) != nil {
			return
		}
	}
	_ = s.Send(ctx, &End{Chunks: submit.Offset})
}

func TestStreamCarriesManyChunksInOrder(t *testing.T) {
	verifyNoLeak(t)
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	e := newEndpoint(t, nil, loopback)
	l, err := e.Dial(ctx, listen(t, serveFunc(serveChunks), loopback))
	c.Assert(err, qt.IsNil)
	s, err := l.Open(ctx, &Submit{Offset: 1000})
	c.Assert(err, qt.IsNil)
	defer s.Close()
	for want := uint32(1); want <= 1000; want++ {
		m, err := s.Receive(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(m.(*Chunk).Seq, qt.Equals, want)
	}
	m, err := s.Receive(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(m.(*End).Chunks, qt.Equals, uint32(1000))
}

func TestSlowReaderDoesNotHoldUpOtherStreams(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	e := newEndpoint(t, nil, loopback)
	l, err := e.Dial(ctx, listen(t, serveFunc(serveChunks), loopback))
	c.Assert(err, qt.IsNil)
	slow, err := l.Open(ctx, &Submit{Offset: 100_000})
	c.Assert(err, qt.IsNil)
	defer slow.Close()
	fast, err := l.Open(ctx, &Submit{Offset: 500})
	c.Assert(err, qt.IsNil)
	defer fast.Close()
	for range 501 {
		_, err := fast.Receive(ctx)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(len(slow.inbox) <= inboxLength, qt.IsTrue)
}

func TestPeerOutsideAllowedNetworksIsRejected(t *testing.T) {
	c := qt.New(t)
	e := newEndpoint(t, nil, loopback)
	_, err := e.Dial(context.Background(), listen(t, serveFunc(serveChunks), "10.0.0.0/8"))
	c.Assert(err, qt.IsNotNil)
}

func TestUnresponsiveLinkEndsWithinThreeSeconds(t *testing.T) {
	c := qt.New(t)
	relay := newRelay(t, listen(t, serveFunc(func(ctx context.Context, _ *Stream, _ Message) { <-ctx.Done() }), loopback))
	e := newEndpoint(t, nil, loopback)
	l, err := e.Dial(context.Background(), relay.address)
	c.Assert(err, qt.IsNil)
	s, err := l.Open(context.Background(), &Submit{})
	c.Assert(err, qt.IsNil)
	relay.discard()
	_, err = s.Receive(context.Background())
	var unresponsive *UnresponsiveError
	c.Assert(errors.As(err, &unresponsive), qt.IsTrue)
	c.Assert(unresponsive.For < 3*time.Second, qt.IsTrue)
	fresh, err := e.Dial(context.Background(), relay.address)
	c.Assert(err, qt.IsNil)
	c.Assert(fresh != l, qt.IsTrue)
}

// TestDialDuringTheEndOfALinkReturnsAnotherLink dials between the end of a link and its hooks, and checks that the late hook of
// the ended link leaves its successor in place.
func TestDialDuringTheEndOfALinkReturnsAnotherLink(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	address := listen(t, serveFunc(serveChunks), loopback)
	e := newEndpoint(t, nil, loopback)
	old, err := e.Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	// The hook that removes the link from the endpoint is added after the dial has returned.
	for len(old.hooksSnapshot()) < 2 {
		time.Sleep(time.Millisecond)
	}
	hooks := old.end(nil)
	fresh, err := e.Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(fresh != old, qt.IsTrue)
	for _, hook := range hooks {
		hook()
	}
	again, err := e.Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(again == fresh, qt.IsTrue)
}

// hooksSnapshot returns the hooks that are registered now.
func (l *Link) hooksSnapshot() []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hooks
}

func TestMalformedFrameEndsOnlyItsLink(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	address := listen(t, serveFunc(serveChunks), loopback)
	e := newEndpoint(t, nil, loopback)
	good, err := e.Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = conn.Write(bytes.Repeat([]byte{0xff}, 64))
	c.Assert(err, qt.IsNil)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = bufio.NewReader(conn).ReadBytes(0)
	var timeout net.Error
	c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
	end, err := Request[*End](ctx, good, &Submit{}, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(end.Chunks, qt.Equals, uint32(0))
}

func FuzzReadFrame(f *testing.F) {
	var buf bytes.Buffer
	for _, m := range []Message{&Hello{ID: "a"}, &Submit{Body: []byte("b")}, &Chunk{Seq: 1, Data: []byte("c")}, &DeltaReply{}} {
		buf.Reset()
		if err := appendFrame(&buf, 3, m); err != nil {
			f.Fatal(err)
		}
		f.Add(bytes.Clone(buf.Bytes()))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, m, err := readFrame(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		var reencoded bytes.Buffer
		if err := appendFrame(&reencoded, 1, m); err != nil {
			t.Fatalf("decoded message does not encode: %v", err)
		}
	})
}

// TestOlderProtocolVersionIsSpoken links processes of both versions, in both directions. An old acceptor sends its hello first and
// closes the connection if the dialler offers another version than its own.
func TestOlderProtocolVersionIsSpoken(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	address := listen(t, serveFunc(serveChunks), loopback)
	old := newEndpoint(t, nil, loopback)
	old.LocalHello = func() Hello { return Hello{Protocol: 1, ID: "old"} }
	l, err := old.Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Version(), qt.Equals, 1)
	c.Assert(l.Remote().Protocol, qt.Equals, 1)
	recent := newEndpoint(t, nil, loopback)
	l, err = recent.Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(l.Version(), qt.Equals, ProtocolVersion)

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	go acceptVersion1(ln)
	l, err = recent.Dial(ctx, ln.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Assert(l.Version(), qt.Equals, 1)
}

// acceptVersion1 shakes hands as programs did that knew version 1 alone.
func acceptVersion1(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		var buf bytes.Buffer
		_ = appendFrame(&buf, 0, &Hello{Protocol: 1, ID: "old"})
		_, _ = conn.Write(buf.Bytes())
		_, m, err := readFrame(bufio.NewReader(conn))
		if hello, ok := m.(*Hello); err != nil || !ok || hello.Protocol != 1 {
			_ = conn.Close()
		}
	}
}

// TestRetiredLinkFinishesItsStreamsAndOpensNone covers a process that is about to stop: nothing may be sent to it on a link that it
// may already have closed, and what is open must end well.
func TestRetiredLinkFinishesItsStreamsAndOpensNone(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	address := listen(t, serveFunc(serveChunks), loopback)
	e := newEndpoint(t, nil, loopback)
	l, err := e.Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	open, err := l.Open(ctx, &Submit{Offset: 20})
	c.Assert(err, qt.IsNil)
	l.Retire()
	_, err = l.Open(ctx, &Submit{})
	var retired *RetiredError
	c.Assert(errors.As(err, &retired), qt.IsTrue)
	for range 21 {
		_, err := open.Receive(ctx)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(l.Ended(), qt.IsFalse)
	fresh, err := e.Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(fresh != l, qt.IsTrue)
	open.Close()
	<-l.Done()
	again, err := e.Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	c.Assert(again == fresh, qt.IsTrue)
	again.Retire()
	<-again.Done()
}

// readFrame reads one frame as a link without a bound on memory does.
func readFrame(r io.Reader) (StreamID, Message, error) {
	h, err := readHeader(r, MaxFrameBytes)
	if err != nil {
		return 0, nil, err
	}
	m, err := (&Link{}).receiveFrame(r, h, nil)
	return h.id, m, err
}
