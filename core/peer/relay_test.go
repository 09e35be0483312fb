package peer

import (
	"io"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// relay passes bytes both ways until it goes silent; connections made later work again.
type relay struct {
	address string
	target  string

	mu    sync.Mutex
	pipes []*pipe
}

// pipe is one relayed connection.
type pipe struct {
	mu    sync.Mutex
	quiet bool
	ends  [2]net.Conn
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
			_ = p.ends[0].Close()
			_ = p.ends[1].Close()
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
		p := &pipe{ends: [2]net.Conn{in, out}}
		r.mu.Lock()
		r.pipes = append(r.pipes, p)
		r.mu.Unlock()
		go p.copy(0, 1)
		go p.copy(1, 0)
	}
}

// silence makes every present connection swallow what it gets, without closing it.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pipes {
		p.mu.Lock()
		p.quiet = true
		p.mu.Unlock()
	}
}

func (p *pipe) copy(from, to int) {
	buf := make([]byte, 4096)
	for {
		n, err := p.ends[from].Read(buf)
		p.mu.Lock()
		quiet := p.quiet
		p.mu.Unlock()
		if !quiet && n > 0 {
			_, _ = p.ends[to].Write(buf[:n])
		}
		if err == nil {
			continue
		}
		if err == io.EOF && !quiet {
			_ = p.ends[to].Close()
		}
		return
	}
}
