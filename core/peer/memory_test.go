package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
