package upstream

import (
	"context"
	"sync"
	"time"

	"rattantrack.dev/core/members"
)

// Fractions of the idle time within which a connection is reused. A request that may not run twice needs a connection that
// the upstream is not about to close.
const (
	idleFraction     = 1.0
	idleFractionOnce = 0.6
)

// Reuse says which idle connections may carry a request.
type Reuse int

// Reuses of idle connections.
const (
	// ReuseAny is for a request that may run twice.
	ReuseAny Reuse = iota
	// ReuseRecent is for a request that may not run twice.
	ReuseRecent
	// ReuseNone is for a request that the upstream has had before. Another answer to it may still arrive on a connection that carried
	// it, and the id would not tell it from the answer to this attempt.
	ReuseNone
)

// maxIdle bounds the idle connections to one instance.
const maxIdle = 48

// sweepInterval is how often connections are checked for the end of their idle time.
const sweepInterval = time.Second

// Pool keeps idle connections and reuses the most recently used one first. Its Dialect must be set.
type Pool struct {
	Dialect Dialect
	// OnDial is called after each dial, with its error if it failed.
	OnDial func(inst members.Instance, err error)

	mu   sync.Mutex
	idle map[Key][]*Conn
}

// String returns the service's name.
func (p *Pool) String() string { return "upstream_connections" }

// Run closes connections at the end of their idle time and, when ctx ends, all idle connections.
func (p *Pool) Run(ctx context.Context, ready func()) error {
	ready()
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.sweep(func(*Conn) bool { return true })
			return nil
		case now := <-t.C:
			p.sweep(func(c *Conn) bool { return now.Sub(c.idleSince) > c.idleTime || c.receivedSurplus() })
		}
	}
}

// Forget closes the idle connections to an instance.
func (p *Pool) Forget(inst members.Instance) {
	p.sweep(func(c *Conn) bool { return c.Instance.ID == inst.ID })
}

func (p *Pool) sweep(drop func(*Conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if drop(c) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(list[len(kept):])
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// Get returns a connection to an instance.
func (p *Pool) Get(ctx context.Context, inst members.Instance, reuse Reuse) (*Conn, error) {
	fraction := idleFraction
	if reuse == ReuseRecent {
		fraction = idleFractionOnce
	}
	for reuse != ReuseNone {
		c := p.take(keyOf(inst))
		if c == nil {
			break
		}
		if c.fresh(time.Now(), fraction) {
			return c, nil
		}
		c.Close()
	}
	c, err := dial(ctx, inst, p.Dialect)
	if p.OnDial != nil {
		p.OnDial(inst, err)
	}
	return c, err
}

func (p *Pool) take(key Key) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[key] = list[:len(list)-1]
	return c
}

// Put keeps a connection whose response was read completely, or closes it if it cannot carry another request.
func (p *Pool) Put(c *Conn, res *Response) {
	if !c.reusable(res) {
		c.Close()
		return
	}
	c.idleSince, c.checked = time.Now(), false
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[Key][]*Conn)
	}
	key := keyOf(c.Instance)
	if len(p.idle[key]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
}
