package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/memorybudget"
)

// listenWith is listen with limits on the accepted connections.
func listenWith(t *testing.T, h Handler, edit func(e *Endpoint)) (address string, e *Endpoint) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	e = newEndpoint(t, h, loopback)
	edit(e)
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
	return ln.Addr().String(), e
}

// TestStrangerMakesProcessAllocate guards against memory for what a connection announces before it has said who it is.
func TestStrangerMakesProcessAllocate(t *testing.T) {
	c := qt.New(t)
	announced := binary.BigEndian.AppendUint32(nil, MaxFrameBytes)
	frame := append(announced, make([]byte, 64<<10)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readHello(bytes.NewReader(frame))
	runtime.ReadMemStats(&after)
	var malformed *FrameError
	c.Assert(errors.As(err, &malformed), qt.IsTrue)
	c.Assert(after.TotalAlloc-before.TotalAlloc < 2*maxHelloBytes, qt.IsTrue)
}

// acceptSubmit accepts a submission.
func acceptSubmit(ctx context.Context, s *Stream, m Message) {
	if _, ok := m.(*Submit); ok {
		_ = s.Send(ctx, &Accept{})
	}
}

func incompressible(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return b
}

// TestSubmissionWithoutMemoryEndsLink guards against losing the other requests of a link, and against a submission without an answer.
func TestSubmissionWithoutMemoryEndsLink(t *testing.T) {
	tests := []struct {
		name string
		body []byte
	}{
		{"plain", incompressible(1 << 20)},
		{"compressed", make([]byte, 1<<20)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			budget := &memorybudget.Budget{Limit: 1 << 20}
			other := budget.Open()
			c.Assert(other.Grow(0, 1<<19), qt.IsNil)
			address, _ := listenWith(t, serveFunc(acceptSubmit), func(e *Endpoint) { e.Memory = budget })
			l, err := newEndpoint(t, nil, loopback).Dial(ctx, address)
			c.Assert(err, qt.IsNil)
			submit := func(body []byte) Message {
				s, err := l.Open(ctx, &Submit{Body: body})
				c.Assert(err, qt.IsNil)
				defer s.Close()
				m, err := s.Receive(ctx)
				c.Assert(err, qt.IsNil)
				return m
			}
			refusal, ok := submit(tt.body).(*Refuse)
			c.Assert(ok, qt.IsTrue)
			c.Assert(refusal.Code, qt.Equals, RefuseOverloaded)
			c.Assert(refusal.RetryAfter > 0, qt.IsTrue)
			_, ok = submit([]byte("small")).(*Accept)
			c.Assert(ok, qt.IsTrue)
			other.Close()
			_, ok = submit(tt.body).(*Accept)
			c.Assert(ok, qt.IsTrue)
			c.Assert(budget.Status().Used, qt.Equals, int64(0))
		})
	}
}

// TestReplyWithoutMemoryIsAwaited guards against a stream that waits for a message which was skipped.
func TestReplyWithoutMemoryIsAwaited(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	address := listen(t, serveFunc(func(ctx context.Context, s *Stream, _ Message) {
		_ = s.Send(ctx, &Chunk{Seq: 1, Data: incompressible(1 << 20)})
	}), loopback)
	e := newEndpoint(t, nil, loopback)
	e.Memory = &memorybudget.Budget{Limit: 1 << 20}
	c.Assert(e.Memory.Open().Grow(0, 1<<19), qt.IsNil)
	l, err := e.Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	s, err := l.Open(ctx, &Submit{})
	c.Assert(err, qt.IsNil)
	defer s.Close()
	_, err = s.Receive(ctx)
	var reset *ResetError
	c.Assert(errors.As(err, &reset), qt.IsTrue, qt.Commentf("%v", err))
}

// TestStalledLinkKeepsMemory guards against a process that announces a large message and does not send it.
func TestStalledLinkKeepsMemory(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	budget := &memorybudget.Budget{Limit: 4 << 20}
	address, _ := listenWith(t, serveFunc(acceptSubmit), func(e *Endpoint) { e.Memory = budget })
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	var hello bytes.Buffer
	c.Assert(appendFrame(&hello, 0, &Hello{Protocol: ProtocolVersion, ID: "stalled"}), qt.IsNil)
	frame := make([]byte, headerBytes+1<<20)
	binary.BigEndian.PutUint32(frame, 1<<20+headerBytes)
	frame[lengthBytes] = byte(KindSubmit)
	frame[headerBytes-1] = 1
	_, err = conn.Write(append(hello.Bytes(), frame...))
	c.Assert(err, qt.IsNil)
	l, err := newEndpoint(t, nil, loopback).Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	for range 100 {
		s, err := l.Open(ctx, &Submit{Body: incompressible(1 << 20)})
		c.Assert(err, qt.IsNil)
		m, err := s.Receive(ctx)
		c.Assert(err, qt.IsNil)
		s.Close()
		if _, ok := m.(*Accept); ok {
			_, err := io.Copy(io.Discard, conn)
			c.Assert(err == nil || errors.Is(err, net.ErrClosed) || budget.Status().Evicted == 1, qt.IsTrue)
			c.Assert(budget.Status().Evicted, qt.Equals, int64(1))
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatal("the stalled link keeps its memory")
}

// TestStrangersKeepProcessOut guards against connections of which no process makes a link.
func TestStrangersKeepProcessOut(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	address, e := listenWith(t, serveFunc(acceptSubmit), func(e *Endpoint) { e.MaxAccepted = 4 })
	known, err := newEndpoint(t, nil, loopback).Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	for range 20 {
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		defer conn.Close()
	}
	l, err := newEndpoint(t, nil, loopback).Dial(ctx, address)
	c.Assert(err, qt.IsNil)
	for _, l := range []*Link{known, l} {
		s, err := l.Open(ctx, &Submit{})
		c.Assert(err, qt.IsNil)
		_, err = s.Receive(ctx)
		c.Assert(err, qt.IsNil)
		s.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	c.Assert(len(e.accepted) <= 4, qt.IsTrue)
}

// TestEndedConnectionsUseUpAccepted guards against a count that only grows.
func TestEndedConnectionsUseUpAccepted(t *testing.T) {
	c := qt.New(t)
	address, e := listenWith(t, serveFunc(acceptSubmit), func(e *Endpoint) { e.MaxAccepted = 4 })
	for range 3 {
		l, err := newEndpoint(t, nil, loopback).Dial(context.Background(), address)
		c.Assert(err, qt.IsNil)
		l.Close(nil)
		conn, err := net.Dial("tcp", address)
		c.Assert(err, qt.IsNil)
		c.Assert(conn.Close(), qt.IsNil)
	}
	open := -1
	for range 500 {
		e.mu.Lock()
		open = len(e.accepted)
		e.mu.Unlock()
		if open == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%d connections are counted", open)
}

// TestLargeMessageIsReportedWritten guards against a message whose memory is never given back.
func TestLargeMessageIsReportedWritten(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	l, err := newEndpoint(t, nil, loopback).Dial(ctx, listen(t, serveFunc(acceptSubmit), loopback))
	c.Assert(err, qt.IsNil)
	s, written, err := l.OpenLarge(ctx, &Submit{Body: incompressible(1 << 20)})
	c.Assert(err, qt.IsNil)
	s.Close()
	select {
	case <-written:
	case <-ctx.Done():
		t.Fatal("not reported")
	}
}

// failingListener fails to accept once.
type failingListener struct {
	net.Listener
	err error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.err; err != nil {
		l.err = nil
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// TestLackOfDescriptorsEndsProcess guards against a listener that ends, and its process with it, when there is no descriptor for a moment.
func TestLackOfDescriptorsEndsProcess(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED} {
		t.Run(errno.Error(), func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			e := newEndpoint(t, serveFunc(acceptSubmit), loopback)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan error, 1)
			go func() { done <- e.Listen(ctx, &failingListener{Listener: ln, err: errno}) }()
			_, err = newEndpoint(t, nil, loopback).Dial(context.Background(), ln.Addr().String())
			c.Check(err, qt.IsNil)
			cancel()
			e.Close()
			c.Assert(<-done, qt.IsNil)
		})
	}
}
