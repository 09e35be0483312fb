package upstream

import (
	"context"
	"sync"
	"time"

	"rattantrack.dev/core/members"
)

// Parts of the idle time within which a connection is used again. A request that may not run twice needs a connection
// that the upstream is surely not about to close.
const (
	idlePart     = 1.0
	idlePartOnce = 0.6
)

// maxIdle bounds the unused connections to one instance.
const maxIdle = 48

// sweepInterval is how often connections that were unused for too long are closed.
const sweepInterval = time.Second

// Pool keeps connections between requests, the latest used first; its zero value needs a dialect.
type Pool struct {
	Dialect Dialect
	// OnDial hears of each new connection.
	OnDial func(i members.Instance, err error)

	mu   sync.Mutex
	idle map[Key][]*Conn
}

// String returns the service's name.
func (p *Pool) String() string { return "upstream_connections" }

// Run closes unused connections until ctx ends, and then all of them.
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
			p.sweep(func(c *Conn) bool { return now.Sub(c.idleSince) > c.idleTime })
		}
	}
}

// Forget closes the unused connections to an instance that is gone.
func (p *Pool) Forget(i members.Instance) {
	p.sweep(func(c *Conn) bool { return c.Instance.ID == i.ID })
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

// Get returns a connection to an instance; once says that the request may not run twice.
func (p *Pool) Get(ctx context.Context, i members.Instance, once bool) (*Conn, error) {
	part := idlePart
	if once {
		part = idlePartOnce
	}
	for {
		c := p.take(keyOf(i))
		if c == nil {
			break
		}
		if c.fresh(time.Now(), part) {
			return c, nil
		}
		c.Close()
	}
	c, err := dial(ctx, i, p.Dialect)
	if p.OnDial != nil {
		p.OnDial(i, err)
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

// Put keeps a connection whose answer was read whole, or closes it where no other request can follow.
func (p *Pool) Put(c *Conn, res *Response) {
	if !c.reusable(res) {
		c.Close()
		return
	}
	c.idleSince = time.Now()
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
