package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// linkPair returns both ends of a link whose readers have not been started, as in processes that do not run.
func linkPair(t *testing.T) (dialler, acceptor *Link) {
	t.Helper()
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	dialled := make(chan *Link, 1)
	go func() {
		conn, err := net.Dial("tcp", ln.Addr().String())
		qt.Check(t, err, qt.IsNil)
		l, err := newLink(context.Background(), conn, Hello{Protocol: ProtocolVersion, ID: "dialler"}, true, nil, func() {})
		qt.Check(t, err, qt.IsNil)
		dialled <- l
	}()
	conn, err := ln.Accept()
	c.Assert(err, qt.IsNil)
	acceptor, err = newLink(context.Background(), conn, Hello{Protocol: ProtocolVersion, ID: "acceptor"}, false, nil, func() {})
	c.Assert(err, qt.IsNil)
	dialler = <-dialled
	t.Cleanup(func() {
		dialler.Close(nil)
		acceptor.Close(nil)
	})
	return dialler, acceptor
}

// endpointOf returns an endpoint with the given link.
func endpointOf(t *testing.T, l *Link) *Endpoint {
	t.Helper()
	e := newEndpoint(t, nil, loopback)
	e.track(l, l.conn.RemoteAddr().String())
	return e
}

// TestStreamThatLiesUnreadAtEndOfLinkIsInDoubt guards against a sender that cannot know whether its message was received by a process that
// ended the link.
func TestStreamThatLiesUnreadAtEndOfLinkIsInDoubt(t *testing.T) {
	tests := []struct {
		name string
		end  func(e *Endpoint)
	}{
		{"stop", (*Endpoint).Shutdown},
		{"idle", func(e *Endpoint) { e.CloseIdle(0) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			verifyNoLeak(t)
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			dialler, acceptor := linkPair(t)
			dialler.Serve(nil)
			s, err := dialler.Open(ctx, &Submit{})
			c.Assert(err, qt.IsNil)
			defer s.Close()
			time.Sleep(50 * time.Millisecond)
			go tt.end(endpointOf(t, acceptor))
			_, err = s.Receive(ctx)
			var unreceived *NotReceivedError
			c.Assert(errors.As(err, &unreceived), qt.IsTrue, qt.Commentf("%v", err))
			s.Close()
			<-dialler.Done()
		})
	}
}

// TestStreamOpenedAfterUnreadEndOfLinkIsInDoubt covers a process that did not run while the other end stopped.
func TestStreamOpenedAfterUnreadEndOfLinkIsInDoubt(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	dialler, acceptor := linkPair(t)
	acceptor.Serve(serveFunc(serveChunks))
	endpointOf(t, acceptor).Shutdown()
	var streams []*Stream
	for range 5 {
		s, err := dialler.Open(ctx, &Submit{})
		c.Assert(err, qt.IsNil)
		defer s.Close()
		streams = append(streams, s)
		time.Sleep(5 * time.Millisecond)
	}
	dialler.Serve(nil)
	for _, s := range streams {
		_, err := s.Receive(ctx)
		var unreceived *NotReceivedError
		c.Assert(errors.As(err, &unreceived), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// TestStreamsThatCrossStopAreInDoubt opens streams from many goroutines, also on new links, while the listener stops.
func TestStreamsThatCrossStopAreInDoubt(t *testing.T) {
	c := qt.New(t)
	for range 20 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		address := ln.Addr().String()
		c.Assert(ln.Close(), qt.IsNil)
		listener := &Listener{Address: address, Endpoint: newEndpoint(t, serveFunc(serveChunks), loopback), IdleTimeout: time.Minute}
		ctx, stop := context.WithCancel(context.Background())
		ready, stopped := make(chan struct{}), make(chan error, 1)
		go func() { stopped <- listener.Run(ctx, func() { close(ready) }) }()
		<-ready
		var wg sync.WaitGroup
		for i := range 16 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				e := newEndpoint(t, nil, loopback)
				openUntilEnd(t, e, address, i%2 == 0)
			}()
		}
		time.Sleep(20 * time.Millisecond)
		stop()
		c.Assert(<-stopped, qt.IsNil)
		wg.Wait()
	}
}

// openUntilEnd opens streams, on one link or on a new one each, until nobody listens. Each must be answered or be known as not received.
func openUntilEnd(t *testing.T, e *Endpoint, address string, renew bool) {
	for {
		l, err := e.Dial(context.Background(), address)
		if err != nil {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err = requestEnd(ctx, l)
		cancel()
		var unreceived *NotReceivedError
		var retired *RetiredError
		if err != nil && !errors.As(err, &unreceived) && !errors.As(err, &retired) {
			qt.Check(t, err, qt.IsNil)
			return
		}
		if renew {
			l.Retire()
		}
	}
}

// requestEnd opens a stream and returns its only message.
func requestEnd(ctx context.Context, l *Link) (Message, error) {
	s, err := l.Open(ctx, &Submit{})
	if err != nil {
		return nil, err
	}
	defer s.Close()
	return s.Receive(ctx)
}

// TestLinkDialledDuringShutdownHoldsItUp guards against waiting for a link that nobody ends.
func TestLinkDialledDuringShutdownHoldsItUp(t *testing.T) {
	c := qt.New(t)
	_, acceptor := linkPair(t)
	late, _ := linkPair(t)
	e := endpointOf(t, acceptor)
	// A link to an older program ends at once.
	acceptor.local.Protocol = GoodbyeVersion - 1
	acceptor.onEnd(func() { e.track(late, "late") })
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Shutdown()
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("the shutdown waits")
	}
	c.Assert(late.Ended(), qt.IsFalse)
}
