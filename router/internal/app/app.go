package app

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"rattantrack.dev/core/clock"
	platformconfig "rattantrack.dev/core/configuration"
	"rattantrack.dev/core/gossip"
	"rattantrack.dev/core/httphead"
	"rattantrack.dev/core/kernel"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/caller"
	"rattantrack.dev/router/internal/configuration"
	"rattantrack.dev/router/internal/sides"
)

// idleLinkTimeout is how long an unused link to another process is kept.
const idleLinkTimeout = 60 * time.Second

// maxDialledLinks bounds the links that a router opens, so that its memory stays within the limit for one process.
const maxDialledLinks = 800

// Router is a router process that sends calls to the side processes of upstreams.
type Router struct {
	cfg        settings.Router
	log        *log.Logger
	metrics    *operator.Metrics
	store      *revision.Store
	view       *sides.View
	endpoint   *peer.Endpoint
	dispatcher *sides.Dispatcher
	gossip     *gossip.Service
	caller     *caller.Server
	watcher    *configuration.Watcher
	announcer  *operator.Announcer
}

// New returns a Router with the given settings.
func New(cfg settings.Router, l *log.Logger) (*Router, error) {
	operator.LimitMemory(cfg.MemoryMB)
	callerIdentity, err := peer.OptionalIdentity(cfg.CallerTLS)
	if err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, log: l, metrics: operator.NewMetrics("router"), store: &revision.Store{}}
	r.view = &sides.View{Clock: clock.Boot{}}
	if r.endpoint, _, err = newEndpoint(cfg, r.store, r, l); err != nil {
		return nil, err
	}
	r.endpoint.MaxDialled = maxDialledLinks
	scope := r.metrics.Scope
	r.dispatcher = &sides.Dispatcher{View: r.view, Endpoint: r.endpoint, Clock: clock.Boot{}, Log: l, Scope: scope}
	r.gossip = &gossip.Service{Store: r.store, Dialer: r.endpoint, Log: l, Candidates: r.gossipCandidates}
	r.caller = &caller.Server{
		Config:     cfg,
		Dispatcher: r.dispatcher,
		View:       r.view,
		Clock:      clock.Boot{},
		Log:        l,
		Scope:      scope,
		Identity:   callerIdentity,
		Memory:     &memorybudget.Budget{Limit: cfg.Limits.RequestMemory},
		Limit:      clientLimit("caller", cfg, l, scope),
	}
	client := &platformconfig.Client{
		ConfigurationURL: cfg.Configuration, VMListURL: cfg.VMList, HTTP: httphead.NewClient(), MaxBytes: cfg.Limits.RequestMemory,
	}
	r.watcher = &configuration.Watcher{
		Reader: client,
		Store:  r.store,
		Offer:  r.gossip,
		View:   r.view,
		Notify: r.dispatcher,
		Log:    l,
		Scope:  scope,
	}
	r.announcer = &operator.Announcer{Log: l, Message: "router ready"}
	return r, nil
}

// gossipCandidates returns the addresses of the processes with which this one may exchange declarations.
func (r *Router) gossipCandidates() []string {
	declarations, _ := r.view.Declarations()
	addresses := append(gossip.SideAddresses(declarations), r.view.Routers()...)
	var list []string
	for _, address := range append(addresses, r.cfg.Peers...) {
		if address != r.cfg.Advertise {
			list = append(list, address)
		}
	}
	return list
}

// Serve passes a peer's message to the service that handles it.
func (r *Router) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	if r.dispatcher.Serve(ctx, st, m) || r.gossip.Serve(ctx, st, m) {
		return
	}
	r.log.Warn("unexpected message", "kind", m.Kind(), "peer", st.Link().Remote().ID)
}

// Run runs the process until ctx ends and its services have stopped.
func (r *Router) Run(ctx context.Context) error {
	defer func() { _ = r.metrics.Close() }()
	r.store.Watch(r.view.ApplyDeclarations)
	k := &kernel.Kernel{}
	k.Add(
		&operator.Server{
			Address: r.cfg.Operator,
			Metrics: r.metrics,
			Ready:   r.ready,
			Limit:   operator.PortLimit("operator", r.cfg.Descriptors, r.log, r.metrics),
			Dumpers: []operator.Dumper{r.caller, r.view, r.gossip, &operator.Links{Endpoint: r.endpoint}},
		},
		&peer.Listener{Address: r.cfg.Peer, Endpoint: r.endpoint, IdleTimeout: idleLinkTimeout},
		r.watcher,
		r.gossip,
		r.caller,
		r.announcer,
	)
	return k.Run(ctx)
}

// ready reports whether the load balancer should send calls: all services have started and the caller API is not stopping.
func (r *Router) ready() bool { return r.announcer.Started() && !r.caller.Stopping() }
