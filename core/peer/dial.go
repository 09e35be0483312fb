package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// defaultDialTime is how long a link may take to be made, between regions as well.
const defaultDialTime = time.Second

// ForbiddenError reports a process that called from outside the allowed networks.
type ForbiddenError struct {
	Address string
}

func (e *ForbiddenError) Error() string { return "peer not allowed: " + e.Address }

// Networks is the set of networks whose processes may connect.
type Networks []netip.Prefix

// ParseNetworks parses networks in CIDR form.
func ParseNetworks(texts []string) (Networks, error) {
	var n Networks
	for _, text := range texts {
		p, err := netip.ParsePrefix(text)
		if err != nil {
			return nil, errors.Wrapf(err, "parsing network %q", text)
		}
		n = append(n, p)
	}
	return n, nil
}

// Allows reports whether an address lies in one of the networks.
func (n Networks) Allows(addr net.Addr) bool {
	ap, err := netip.ParseAddrPort(addr.String())
	if err != nil {
		return false
	}
	for _, p := range n {
		if p.Contains(ap.Addr().Unmap()) {
			return true
		}
	}
	return false
}

// Endpoint accepts and dials links for one process; links are kept by address and dialled anew when they end.
type Endpoint struct {
	Local   func() Hello
	Handler Handler
	Allow   Networks
	// OnReject hears of connections that were turned away.
	OnReject func(err error)
	// Identity encrypts the links and proves both ends to each other, where it is set.
	Identity *Identity
	// MaxDialled bounds the links that this process keeps towards others; the one idle for longest goes first.
	MaxDialled int
	// DialTimeout is how long a link may take to be made, 0 for 1 s.
	DialTimeout time.Duration

	mu    sync.Mutex
	links map[string]*dialled
	all   map[*Link]string
}

// dialled is a link that is there or being made.
type dialled struct {
	ready chan struct{}
	link  *Link
	err   error
}

// Listen serves links on ln until ctx ends.
func (e *Endpoint) Listen(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accepting a peer")
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.welcome(ctx, conn)
		}()
	}
}

func (e *Endpoint) welcome(ctx context.Context, conn net.Conn) {
	if !e.Allow.Allows(conn.RemoteAddr()) {
		_ = conn.Close()
		e.reject(&ForbiddenError{Address: conn.RemoteAddr().String()})
		return
	}
	if e.Identity != nil {
		conn = tls.Server(conn, e.Identity.Server())
	}
	l, err := newLink(ctx, conn, e.Local(), false)
	if err != nil {
		e.reject(err)
		return
	}
	e.keep(l, conn.RemoteAddr().String())
	l.Serve(e.Handler)
}

func (e *Endpoint) reject(err error) {
	if e.OnReject != nil {
		e.OnReject(err)
	}
}

// keep remembers a link until it ends.
func (e *Endpoint) keep(l *Link, address string) {
	e.mu.Lock()
	if e.all == nil {
		e.all = make(map[*Link]string)
	}
	e.all[l] = address
	e.mu.Unlock()
	l.onEnd(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.all, l)
	})
}

// Links returns the links that are open now.
func (e *Endpoint) Links() []*Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	links := make([]*Link, 0, len(e.all))
	for l := range e.all {
		links = append(links, l)
	}
	return links
}

// Address returns where a link leads.
func (e *Endpoint) Address(l *Link) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.all[l]
}

// Close ends every link.
func (e *Endpoint) Close() {
	for _, l := range e.Links() {
		l.Close(nil)
	}
}

// Dial returns the link to an address, making it if there is none.
func (e *Endpoint) Dial(ctx context.Context, address string) (*Link, error) {
	e.mu.Lock()
	d := e.links[address]
	if d == nil {
		d = &dialled{ready: make(chan struct{})}
		if e.links == nil {
			e.links = make(map[string]*dialled)
		}
		e.links[address] = d
		go e.connect(address, d)
		defer e.trim()
	}
	e.mu.Unlock()
	select {
	case <-d.ready:
		return d.link, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// trim ends the dialled links that were idle for longest, while there are too many.
func (e *Endpoint) trim() {
	for victim := e.idlest(); victim != nil; victim = e.idlest() {
		victim.Close(nil)
	}
}

func (e *Endpoint) idlest() *Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.MaxDialled == 0 || len(e.links) <= e.MaxDialled {
		return nil
	}
	var victim *Link
	for _, d := range e.links {
		select {
		case <-d.ready:
		default:
			continue
		}
		if d.link == nil || d.link.OpenStreams() > 0 {
			continue
		}
		if victim == nil || d.link.IdleFor() > victim.IdleFor() {
			victim = d.link
		}
	}
	return victim
}

// connect makes a link for everybody who waits for it and forgets it when it ends.
func (e *Endpoint) connect(address string, d *dialled) {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(e.DialTimeout, defaultDialTime))
	defer cancel()
	d.link, d.err = e.dial(ctx, address)
	close(d.ready)
	forget := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.links, address)
	}
	if d.err != nil {
		forget()
		return
	}
	d.link.onEnd(forget)
}

func (e *Endpoint) dial(ctx context.Context, address string) (*Link, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dialling %s", address)
	}
	if e.Identity != nil {
		conn = tls.Client(conn, e.Identity.Client())
	}
	l, err := newLink(ctx, conn, e.Local(), true)
	if err != nil {
		return nil, errors.Wrapf(err, "greeting %s", address)
	}
	e.keep(l, address)
	l.Serve(e.Handler)
	return l, nil
}

// Redial returns a new link to an address in place of one that is no longer trusted.
func (e *Endpoint) Redial(ctx context.Context, address string, old *Link) (*Link, error) {
	if old != nil {
		old.Close(&SilentError{For: old.IdleFor()})
	}
	return e.Dial(ctx, address)
}

// CloseIdle ends links that carry no stream and have been silent for longer than limit.
func (e *Endpoint) CloseIdle(limit time.Duration) {
	for _, l := range e.Links() {
		if l.OpenStreams() == 0 && l.IdleFor() > limit {
			l.Close(nil)
		}
	}
}
