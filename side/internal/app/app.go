package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/gossip"
	"rattantrack.dev/core/kernel"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/ticket"
	"rattantrack.dev/side/internal/router"
	"rattantrack.dev/side/internal/sides"
	"rattantrack.dev/side/internal/upstream"
)

// idleLinkTimeout is how long an unused link is kept; routers close theirs earlier.
const idleLinkTimeout = 2 * time.Minute

// acceptedDivisor is the part of the descriptors that accepted links take.
const acceptedDivisor = 4

// Side is one side process.
type Side struct {
	cfg      settings.Side
	log      *log.Logger
	metrics  *operator.Metrics
	store    *revision.Store
	endpoint *peer.Endpoint
	server   *router.Server
	sides    *sides.Service
	gossip   *gossip.Service
	client   *upstream.Client
	started  atomic.Bool
}

// New returns a side process with the given settings.
func New(cfg settings.Side, l *log.Logger) (*Side, error) {
	allow, err := peer.ParseNetworks(cfg.Allow)
	if err != nil {
		return nil, err
	}
	identity, err := peer.OptionalIdentity(cfg.PeerTLS)
	if err != nil {
		return nil, err
	}
	incarnation := peer.Incarnation(uuid.NewString())
	issuer, err := ticket.NewIssuer(cfg.Upstream, incarnation)
	if err != nil {
		return nil, err
	}
	operator.LimitMemory(cfg.MemoryMB)
	s := &Side{cfg: cfg, log: l, metrics: operator.NewMetrics("side"), store: &revision.Store{}}
	s.client = upstream.New(cfg.URL)
	s.server = &router.Server{
		Self:     cfg.Upstream,
		Clock:    clock.Boot{},
		Upstream: s.client,
		Issuer:   issuer,
		Log:      l,
		Scope:    s.metrics.Scope,
		Started:  clock.Boot{}.Now(),
		Memory:   &memorybudget.Budget{Limit: cfg.RequestMemory},
	}
	s.endpoint = &peer.Endpoint{
		LocalHello: func() peer.Hello { return s.hello(incarnation) },
		Handler:    s,
		Allow:      allow,
		Identity:   identity,
		OnReject:   func(err error) { l.Warn("peer turned away", "error", err) },
		// Large messages that arrive are submissions.
		Memory:      s.server.Memory,
		MaxAccepted: max(1, cfg.Descriptors/acceptedDivisor),
	}
	prefixes := sides.NewPrefixTransfer(s.endpoint, s.client)
	s.server.Prefixes = prefixes
	s.sides = &sides.Service{Admission: s.server, Dialer: s.endpoint, Prefixes: prefixes}
	s.gossip = &gossip.Service{Store: s.store, Dialer: s.endpoint, Log: l, Candidates: s.candidates}
	return s, nil
}

func (s *Side) hello(incarnation peer.Incarnation) peer.Hello {
	v, _ := s.store.Current()
	return peer.Hello{
		Protocol:    peer.ProtocolVersion,
		Role:        peer.RoleSide,
		ID:          string(s.cfg.Upstream),
		DataCentre:  s.cfg.DataCentre,
		Incarnation: incarnation,
		Revision:    v.Revision,
		Sent:        clock.Boot{}.Now(),
	}
}

// candidates returns the addresses of the processes from which this one may get declarations.
func (s *Side) candidates() []string {
	_, declarations := s.store.Current()
	var list []string
	for _, address := range append(gossip.SideAddresses(declarations), s.cfg.Peers...) {
		if address != s.cfg.Peer {
			list = append(list, address)
		}
	}
	return list
}

// Serve passes a peer's message to the service that handles it.
func (s *Side) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	if s.server.Serve(ctx, st, m) || s.sides.Serve(ctx, st, m) || s.gossip.Serve(ctx, st, m) {
		return
	}
	s.log.Warn("unexpected message", "kind", m.Kind(), "peer", st.Link().Remote().ID)
}

// Run runs the process until ctx ends and all its work is done.
func (s *Side) Run(ctx context.Context) error {
	defer func() { _ = s.metrics.Close() }()
	defer s.client.Close()
	s.store.Watch(s.server.ApplyDeclarations)
	k := &kernel.Kernel{}
	k.Add(
		&operator.Server{
			Address: s.cfg.Operator,
			Metrics: s.metrics,
			Ready:   s.ready,
			Limit:   operator.PortLimit("operator", s.cfg.Descriptors, s.log, s.metrics),
			Dumpers: []operator.Dumper{s.server, s.gossip, &operator.Links{Endpoint: s.endpoint}},
		},
		&peer.Listener{Address: s.cfg.Peer, Endpoint: s.endpoint, IdleTimeout: idleLinkTimeout},
		s.gossip,
		s.sides,
		&drain{side: s},
	)
	return k.Run(ctx)
}

// ready reports whether all services have started and the side takes work.
func (s *Side) ready() bool { return s.started.Load() && !s.server.Leaving() }

// drain is the last service to start and so the first to stop: it lets the work end before the other services stop.
type drain struct {
	side *Side
}

// String returns the service's name.
func (d *drain) String() string { return "drain" }

// leavingTimeout bounds the leaving notices and, separately, the handover of a stopping side.
const leavingTimeout = 2 * time.Second

// linkEndTimeout bounds how long a stopping side waits for the routers to close their links, and linkEndInterval is how often it
// checks.
const (
	linkEndTimeout  = 2 * time.Second
	linkEndInterval = 20 * time.Millisecond
)

// minRefusalTime is the shortest time for which a stopping side still refuses attempts after its leaving notices.
const minRefusalTime = 500 * time.Millisecond

// Run waits for ctx to end and then drains the side and hands over its records.
func (d *drain) Run(ctx context.Context, ready func()) error {
	ready()
	d.side.started.Store(true)
	d.side.log.Info("side ready", "peer", d.side.cfg.Peer)
	<-ctx.Done()
	d.side.log.Info("side leaving")
	d.side.server.Leave()
	noticed := time.Now()
	noticeCtx, cancelNotice := context.WithTimeout(context.Background(), leavingTimeout)
	defer cancelNotice()
	for _, l := range d.side.endpoint.Links() {
		_ = peer.Notify(noticeCtx, l, &peer.Leaving{})
	}
	workCtx, cancelWork := context.WithTimeout(context.Background(), d.side.cfg.DrainTime)
	defer cancelWork()
	d.side.server.Drain(workCtx)
	handoverCtx, cancelHandover := context.WithTimeout(context.Background(), leavingTimeout)
	defer cancelHandover()
	d.side.sides.HandOver(handoverCtx)
	// Attempts sent before a router received the notice are refused, and the refusals must still be delivered.
	time.Sleep(time.Until(noticed.Add(minRefusalTime)))
	d.awaitLinkEnds()
	d.side.log.Info("side drained")
	return nil
}

// awaitLinkEnds waits until the routers have closed their links. A router does so after the notice, when it has no request open,
// so that no attempt crosses the end of a link. A link that a router opened later gets the notice here.
func (d *drain) awaitLinkEnds() {
	ctx, cancel := context.WithTimeout(context.Background(), linkEndTimeout)
	defer cancel()
	noticed := make(map[*peer.Link]bool)
	for {
		open := 0
		for _, l := range d.side.endpoint.Links() {
			if l.Remote().Role != peer.RoleRouter {
				continue
			}
			open++
			if !noticed[l] {
				noticed[l] = true
				_ = peer.Notify(ctx, l, &peer.Leaving{})
			}
		}
		if open == 0 {
			return
		}
		if !clock.Sleep(ctx, linkEndInterval) {
			d.side.log.Warn("routers have not closed their links", "links", open)
			return
		}
	}
}
