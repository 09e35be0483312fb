package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
)

// defaultDialTimeout limits the time to establish a link, also between regions.
const defaultDialTimeout = time.Second

// ForbiddenError reports a connection from outside the allowed networks.
type ForbiddenError struct {
	Address string
}

func (e *ForbiddenError) Error() string { return "peer not allowed: " + e.Address }

// Networks is the set of networks from which processes may connect.
type Networks []netip.Prefix

// ParseNetworks parses networks in CIDR notation.
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

// Endpoint accepts and dials links for one process. It keeps dialled links by address and dials again after one has ended.
type Endpoint struct {
	// LocalHello returns the Hello of this process.
	LocalHello func() Hello
	Handler    Handler
	Allow      Networks
	// OnReject is called for each rejected connection.
	OnReject func(err error)
	// Identity encrypts the links and authenticates both ends to each other. Without it, links are plain TCP.
	Identity *Identity
	// MaxDialled limits the dialled links, 0 for no limit. Above it, links without streams are closed, longest idle first.
	MaxDialled int
	// MaxAccepted limits the accepted connections, 0 for no limit. Above it, connections that have not said who they are make room, and then
	// links without streams, longest idle first.
	MaxAccepted int
	// Memory bounds the large messages that are being received, nil for no bound.
	Memory *memorybudget.Budget
	// DialTimeout limits the time to establish a link, 0 for 1 s.
	DialTimeout time.Duration

	mu sync.Mutex
	// dialled holds the outgoing links by address. addresses holds the remote address of each open link, incoming ones too.
	dialled   map[string]*dialledLink
	addresses map[*Link]string
	accepted  map[net.Conn]*acceptedConn
}

// dialledLink is a link that is established or being established.
type dialledLink struct {
	ready chan struct{}
	link  *Link
	err   error
}

// ended reports whether the dial has failed or its link has ended or opens no more streams.
func (d *dialledLink) ended() bool {
	select {
	case <-d.ready:
		return d.err != nil || d.link.Ended() || d.link.Retired()
	default:
		return false
	}
}

// Listen serves links on ln until ctx ends.
func (e *Endpoint) Listen(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() })
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if isTransient(err) {
			e.reject(err)
			clock.Sleep(ctx, acceptPause)
			continue
		}
		if err != nil {
			return errors.Wrap(err, "accepting a peer")
		}
		// The limits apply before the next connection is accepted, so that connections never come faster than they are closed.
		if err := e.screen(conn); err != nil {
			_ = conn.Close()
			e.reject(err)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.accept(ctx, conn)
		}()
	}
}

// acceptPause is the pause after a connection could not be accepted.
const acceptPause = 20 * time.Millisecond

// isTransient reports whether later connections may be accepted after an error.
func isTransient(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED)
}

// screen returns why a connection is not accepted, nil if it is.
func (e *Endpoint) screen(conn net.Conn) error {
	if !e.Allow.Allows(conn.RemoteAddr()) {
		return &ForbiddenError{Address: conn.RemoteAddr().String()}
	}
	if !e.admit(conn) {
		return &TooManyError{Limit: e.MaxAccepted}
	}
	return nil
}

func (e *Endpoint) accept(ctx context.Context, conn net.Conn) {
	raw := conn
	if e.Identity != nil {
		conn = tls.Server(conn, e.Identity.ServerConfig())
	}
	l, err := newLink(ctx, conn, e.LocalHello(), false, e.Memory, func() { e.greeted(raw) })
	if err != nil {
		e.forget(raw)
		e.reject(err)
		return
	}
	e.established(raw, l)
	e.track(l, conn.RemoteAddr().String())
	l.Serve(e.Handler)
}

func (e *Endpoint) reject(err error) {
	if e.OnReject != nil {
		e.OnReject(err)
	}
}

// track records a link and its address until the link ends.
func (e *Endpoint) track(l *Link, address string) {
	e.mu.Lock()
	if e.addresses == nil {
		e.addresses = make(map[*Link]string)
	}
	e.addresses[l] = address
	e.mu.Unlock()
	l.onEnd(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.addresses, l)
	})
}

// Links returns the links that are open now.
func (e *Endpoint) Links() []*Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	links := make([]*Link, 0, len(e.addresses))
	for l := range e.addresses {
		links = append(links, l)
	}
	return links
}

// Address returns the remote address of a link.
func (e *Endpoint) Address(l *Link) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addresses[l]
}

// Close ends every link at once.
func (e *Endpoint) Close() {
	for _, l := range e.Links() {
		l.Close(nil)
	}
}

// Dial returns the link to an address and establishes one if there is none.
func (e *Endpoint) Dial(ctx context.Context, address string) (*Link, error) {
	e.mu.Lock()
	d := e.dialled[address]
	// A link ends before its hook removes it from dialled.
	if d == nil || d.ended() {
		d = &dialledLink{ready: make(chan struct{})}
		if e.dialled == nil {
			e.dialled = make(map[string]*dialledLink)
		}
		e.dialled[address] = d
		go e.connect(address, d)
		defer e.closeExcess()
	}
	e.mu.Unlock()
	select {
	case <-d.ready:
		return d.link, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// closeExcess closes dialled links without streams, longest idle first, while there are more than MaxDialled.
func (e *Endpoint) closeExcess() {
	for idlest := e.longestIdle(); idlest != nil; idlest = e.longestIdle() {
		idlest.finishIfIdle()
	}
}

func (e *Endpoint) longestIdle() *Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.MaxDialled == 0 || len(e.dialled) <= e.MaxDialled {
		return nil
	}
	var idlest *Link
	open := 0
	for _, d := range e.dialled {
		if d.ended() {
			continue
		}
		open++
		select {
		case <-d.ready:
		default:
			continue
		}
		if d.link.OpenStreams() > 0 {
			continue
		}
		if idlest == nil || d.link.IdleFor() > idlest.IdleFor() {
			idlest = d.link
		}
	}
	if open <= e.MaxDialled {
		return nil
	}
	return idlest
}

// connect establishes a link for all callers that wait for it and removes it when it ends.
func (e *Endpoint) connect(address string, d *dialledLink) {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(e.DialTimeout, defaultDialTimeout))
	defer cancel()
	d.link, d.err = e.dial(ctx, address)
	close(d.ready)
	remove := func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.dialled[address] == d {
			delete(e.dialled, address)
		}
	}
	if d.err != nil {
		remove()
		return
	}
	d.link.onEnd(remove)
}

// dial establishes a link, with an older version of the protocol if the other end does not speak the latest one.
func (e *Endpoint) dial(ctx context.Context, address string) (*Link, error) {
	hello := e.LocalHello()
	l, err := e.dialWith(ctx, address, hello)
	var version *VersionError
	if errors.As(err, &version) && version.Remote >= minProtocolVersion && version.Remote < hello.Protocol {
		hello = e.LocalHello()
		hello.Protocol = version.Remote
		return e.dialWith(ctx, address, hello)
	}
	return l, err
}

func (e *Endpoint) dialWith(ctx context.Context, address string, hello Hello) (*Link, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dialling %s", address)
	}
	if e.Identity != nil {
		conn = tls.Client(conn, e.Identity.ClientConfig())
	}
	l, err := newLink(ctx, conn, hello, true, e.Memory, func() {})
	if err != nil {
		return nil, errors.Wrapf(err, "handshake with %s", address)
	}
	e.track(l, address)
	l.Serve(e.Handler)
	return l, nil
}

// Redial closes a link that no longer responds and returns a new one to the address.
func (e *Endpoint) Redial(ctx context.Context, address string, old *Link) (*Link, error) {
	if old != nil {
		old.Close(&UnresponsiveError{For: old.IdleFor()})
	}
	return e.Dial(ctx, address)
}

// CloseIdle closes links that carry no stream and have received nothing for longer than limit.
func (e *Endpoint) CloseIdle(limit time.Duration) {
	for _, l := range e.Links() {
		if l.IdleFor() > limit {
			l.finishIfIdle()
		}
	}
}
