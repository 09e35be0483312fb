package peer

import (
	"io"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// relay forwards bytes in both directions. After discard, its present connections drop all bytes and new ones still work.
type relay struct {
	address string
	target  string

	mu    sync.Mutex
	pipes []*pipe
}

// pipe is one relayed connection.
type pipe struct {
	mu         sync.Mutex
	discarding bool
	conns      [2]net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	r := &relay{address: ln.Addr().String(), target: target}
	go r.accept(ln)
	t.Cleanup(func() {
		_ = ln.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.pipes {
			_ = p.conns[0].Close()
			_ = p.conns[1].Close()
		}
	})
	return r
}

func (r *relay) accept(ln net.Listener) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		p := &pipe{conns: [2]net.Conn{in, out}}
		r.mu.Lock()
		r.pipes = append(r.pipes, p)
		r.mu.Unlock()
		go p.copy(0, 1)
		go p.copy(1, 0)
	}
}

// discard makes every present connection discard what it receives without closing it.
func (r *relay) discard() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		p.mu.Lock()
		p.discarding = true
		p.mu.Unlock()
	}
}

func (p *pipe) copy(from, to int) {
	buf := make([]byte, 4096)
	for {
		n, err := p.conns[from].Read(buf)
		p.mu.Lock()
		discarding := p.discarding
		p.mu.Unlock()
		if !discarding && n > 0 {
			_, _ = p.conns[to].Write(buf[:n])
		}
		if err == nil {
			continue
		}
		if err == io.EOF && !discarding {
			_ = p.conns[to].Close()
		}
		return
	}
}
