package app

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	"rattantrack.dev/core/clock"
	vmservices "rattantrack.dev/core/configuration"
	"rattantrack.dev/core/gossip"
	"rattantrack.dev/core/kernel"
	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/caller"
	"rattantrack.dev/router/internal/configuration"
	"rattantrack.dev/router/internal/sides"
)

// idleLinkTime is how long a link to a side is kept without use.
const idleLinkTime = 60 * time.Second

// maxDialled bounds the links to sides that a router holds, so that its memory stays within the bound for a node.
const maxDialled = 800

// Router is one router process.
type Router struct {
	cfg        settings.Router
	log        *log.Logger
	metrics    *operator.Metrics
	store      *revision.Store
	view       *sides.View
	endpoint   *peer.Endpoint
	dispatcher *sides.Dispatcher
	spread     *gossip.Service
	caller     *caller.Server
	watch      *configuration.Watch
	announcer  *operator.Announcer
}

// New returns a router process with the given settings.
func New(cfg settings.Router, l *log.Logger) (*Router, error) {
	forCallers, err := peer.IdentityOf(cfg.CallerTLS)
	if err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, log: l, metrics: operator.NewMetrics("router"), store: &revision.Store{}}
	r.view = &sides.View{Clock: clock.Boot{}}
	if r.endpoint, _, err = newEndpoint(cfg, r.store, r, l); err != nil {
		return nil, err
	}
	r.endpoint.MaxDialled = maxDialled
	scope := r.metrics.Scope
	r.dispatcher = &sides.Dispatcher{View: r.view, Endpoint: r.endpoint, Clock: clock.Boot{}, Log: l, Scope: scope}
	r.spread = &gossip.Service{Store: r.store, Dialer: r.endpoint, Log: l, Candidates: r.candidates}
	r.caller = &caller.Server{
		Config:       cfg,
		Dispatcher:   r.dispatcher,
		Declarations: r.view,
		Clock:        clock.Boot{},
		Log:          l,
		Scope:        scope,
		Identity:     forCallers,
	}
	client := &vmservices.Client{ConfigurationURL: cfg.Configuration, VMListURL: cfg.VMList, HTTP: &http.Client{}}
	r.watch = &configuration.Watch{
		Reader: client,
		Store:  r.store,
		Offer:  r.spread,
		View:   r.view,
		Notify: r.dispatcher,
		Log:    l,
		Scope:  scope,
	}
	r.announcer = &operator.Announcer{Log: l, Message: "router ready"}
	return r, nil
}

// candidates returns the processes that this one may exchange declarations with.
func (r *Router) candidates() []string {
	fleet, _ := r.view.Fleet()
	all := append(gossip.SideAddresses(fleet), r.view.Routers()...)
	var list []string
	for _, address := range append(all, r.cfg.Peers...) {
		if address != r.cfg.Advertise {
			list = append(list, address)
		}
	}
	return list
}

// Serve gives a peer's message to the service that answers it.
func (r *Router) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	if r.dispatcher.Serve(ctx, st, m) || r.spread.Serve(ctx, st, m) {
		return
	}
	r.log.Warn("unexpected message", "kind", m.Kind(), "peer", st.Link().Remote().ID)
}

// Run runs the process until ctx ends and all its calls are answered.
func (r *Router) Run(ctx context.Context) error {
	defer func() { _ = r.metrics.Close() }()
	r.store.Watch(r.view.Declare)
	k := &kernel.Kernel{}
	k.Add(
		&operator.Server{
			Address: r.cfg.Operator,
			Metrics: r.metrics,
			Ready:   r.ready,
			Dumpers: []operator.Dumper{r.caller, r.view, r.spread, &operator.Links{Endpoint: r.endpoint}},
		},
		&peer.Listener{Address: r.cfg.Peer, Endpoint: r.endpoint, IdleTimeout: idleLinkTime},
		r.watch,
		r.spread,
		r.caller,
		r.announcer,
	)
	return k.Run(ctx)
}

// ready reports whether the balancer should send calls: all services have started and none is stopping.
func (r *Router) ready() bool { return r.announcer.Started() && !r.caller.Leaving() }
