package app

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/backoff"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/cold"
	"rattantrack.dev/core/cost"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/fairshare"
	"rattantrack.dev/core/gossip"
	"rattantrack.dev/core/httphead"
	"rattantrack.dev/core/kernel"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/outlier"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/quarantine"
	"rattantrack.dev/core/ratelimit"
	"rattantrack.dev/core/retry"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/routing"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/unresponsive"
	"rattantrack.dev/core/work"
	"rattantrack.dev/router/internal/client"
	"rattantrack.dev/router/internal/crashes"
	"rattantrack.dev/router/internal/directory"
	"rattantrack.dev/router/internal/engines"
	"rattantrack.dev/router/internal/exchange"
	"rattantrack.dev/router/internal/loads"
	"rattantrack.dev/router/internal/origins"
	"rattantrack.dev/router/internal/routers"
	"rattantrack.dev/router/internal/upstream"
)

// Timeouts of connections to the directory.
const (
	directoryDialTimeout = 500 * time.Millisecond
	directoryUserTimeout = 1500 * time.Millisecond
	directoryIdleTimeout = 30 * time.Second
)

// refreshTimeout bounds the read of the directory for a version that another router could not pass on.
const refreshTimeout = time.Second

// linkDialTimeout bounds the dial of a link to another router of the region. A VM that is still starting drops the first
// packet, and the kernel retransmits it only after 1 s (RFC 6298), so a new dial succeeds sooner.
const linkDialTimeout = 250 * time.Millisecond

// Direct is a router process that connects to the upstreams directly, without sides.
type Direct struct {
	cfg     settings.Router
	file    string
	log     *log.Logger
	metrics *operator.Metrics

	store        *revision.Store
	members      *members.Registry
	affinity     *affinity.Index
	outliers     *outlier.Detector
	unresponsive *unresponsive.Detector
	backoff      *backoff.Tracker
	quarantine   *quarantine.Tracker
	rateLimits   *ratelimit.Tracker
	shares       *fairshare.Tracker
	budget       *retry.FleetBudget
	evacuations  *evacuation.Tracker
	cold         *cold.Tracker
	costs        *cost.Estimator
	work         *work.Tracker
	connections  *upstream.Pool
	endpoint     *peer.Endpoint
	loads        *loads.Service
	crashes      *crashes.Service
	origins      *origins.Service
	gossip       *gossip.Service
	routers      *routers.Service
	exchange     *exchange.Service
	client       *client.Server
	watcher      *directory.Watcher
	warmup       *engines.Warmup
	readiness    *readiness
	announcer    *operator.Announcer
}

// NewDirect returns a Direct with the given settings; file is the settings file that SIGHUP reloads.
func NewDirect(cfg settings.Router, file string, l *log.Logger) (*Direct, error) {
	operator.LimitMemory(cfg.MemoryMB)
	d := &Direct{
		cfg:          cfg,
		file:         file,
		log:          l,
		metrics:      operator.NewMetrics("router"),
		store:        &revision.Store{},
		members:      &members.Registry{},
		affinity:     &affinity.Index{},
		outliers:     &outlier.Detector{},
		unresponsive: &unresponsive.Detector{},
		backoff:      &backoff.Tracker{},
		quarantine:   &quarantine.Tracker{},
		rateLimits:   &ratelimit.Tracker{},
		shares:       &fairshare.Tracker{},
		evacuations:  &evacuation.Tracker{},
		costs:        &cost.Estimator{},
		work:         &work.Tracker{},
	}
	var incarnation peer.Incarnation
	var err error
	if d.endpoint, incarnation, err = newEndpoint(cfg, d.store, d, l); err != nil {
		return nil, err
	}
	d.endpoint.DialTimeout = linkDialTimeout
	d.createServices(incarnation)
	return d, nil
}

// directoryRouters reports the directory reads of the other routers, by whatever way they became known first.
type directoryRouters struct {
	*routers.Service
	loads *loads.Service
}

// LastDirectoryRead returns the time of the latest directory read of another router.
func (r directoryRouters) LastDirectoryRead() clock.Instant {
	return max(r.Service.LastDirectoryRead(), r.loads.LastDirectoryRead())
}

// directoryAge returns the age of the newest directory read of any router that this one knows of.
func (d *Direct) directoryAge() time.Duration {
	age, _ := d.watcher.State()
	read := directoryRouters{Service: d.routers, loads: d.loads}.LastDirectoryRead()
	return min(age, clock.Boot{}.Now().Sub(read))
}

// gossipCandidates returns the routers that are told of a new version: the reachable ones, or all while none is.
func (d *Direct) gossipCandidates() []string {
	if reachable := d.routers.Reachable(); len(reachable) > 0 {
		return reachable
	}
	return d.routers.Addresses()
}

// readDeclarations reads the directory, since another router has a newer version that it could not pass on.
func (d *Direct) readDeclarations(ctx context.Context, newer settings.Revision) {
	// The exchange with the router has used up its time.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refreshTimeout)
	defer cancel()
	d.log.Warn("declarations read from the directory", "newer", newer, "error", d.watcher.Refresh(ctx))
}

// originRouters are the routers that are asked for the origins of streams.
type originRouters struct {
	*routers.Service
	directoryAge func() time.Duration
}

// InTouch reports that no known router has been out of reach since the newest news from the directory.
func (r originRouters) InTouch() bool {
	return r.InTouchSince(clock.Boot{}.Now().Add(-r.directoryAge()))
}

// cachingServices returns the services whose upstreams cache prompts, nil while there are no declarations.
func (d *Direct) cachingServices() []settings.ServiceName {
	_, declarations := d.store.Current()
	if declarations == nil {
		return nil
	}
	list := []settings.ServiceName{}
	for name, service := range declarations.Services {
		if service.Kind == settings.KindModel {
			list = append(list, name)
		}
	}
	return list
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// directoryClient returns an HTTP client that detects within seconds that the peer of a connection is unreachable.
func directoryClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         directoryDialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         upstream.UserTimeout(directoryUserTimeout),
	}
	return &http.Client{Transport: httphead.NewTransport(&http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true,
		IdleConnTimeout:    directoryIdleTimeout,
	})}
}

// applyDeclarations gives the client server the routing table of an accepted version of the declarations.
func (d *Direct) applyDeclarations(c revision.Change) {
	table := routing.New(c.Declarations, c.Version.Revision)
	d.client.SetTable(table)
	d.log.Info("declarations in force", "revision", c.Version.Revision, "changed", len(c.Documents), "routes", len(c.Declarations.Routes),
		"teams", len(c.Declarations.Teams), "idle_time", table.Limits.IdleTime, "header_time", table.Limits.HeaderTime)
}

// ready reports whether the load balancer should send connections.
func (d *Direct) ready() bool {
	return d.client.HasDeclarations() && d.members.Complete() && d.warmup.Warm() && !d.client.Stopping()
}

// Serve passes a peer's message to the service that handles it.
func (d *Direct) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	if d.routers.Serve(ctx, st, m) || d.exchange.Serve(ctx, st, m) || d.loads.Serve(ctx, st, m) || d.crashes.Serve(ctx, st, m) ||
		d.origins.Serve(ctx, st, m) || d.gossip.Serve(ctx, st, m) {
		return
	}
	d.log.Warn("unexpected message", "kind", m.Kind(), "peer", st.Link().Remote().ID)
}

// Run runs the process until ctx ends and its services have stopped.
func (d *Direct) Run(ctx context.Context) error {
	defer func() { _ = d.metrics.Close() }()
	d.store.Watch(d.applyDeclarations)
	stop := d.reloadOnHangup()
	defer stop()
	k := &kernel.Kernel{}
	retryBudget := &retries{budget: d.budget, routers: d.routers}
	// The client server does not wait for gossip, which is ready only with declarations, so that an early client gets a failure response with
	// Retry-After instead of a refused connection. It stops before gossip: a router that reads the directory until its last client is served
	// must tell the others what it reads.
	gossip, declarations := kernel.Split(d.gossip)
	k.Add(
		&operator.Server{
			Address: d.cfg.Operator,
			Metrics: d.metrics,
			Ready:   d.ready,
			Limit:   operator.PortLimit("operator", d.cfg.Descriptors, d.log, d.metrics),
			Dumpers: []operator.Dumper{
				d.client, d.watcher, d.members, &pauses{tracker: d.backoff}, &suspects{tracker: d.quarantine},
				&rateLimits{tracker: d.rateLimits}, &evacuations{tracker: d.evacuations}, &coldUpstreams{tracker: d.cold},
				&teamShares{tracker: d.shares}, retryBudget, &workload{costs: d.costs, work: d.work, members: d.members},
				d.origins, d.routers, d.exchange, d.gossip, &operator.Links{Endpoint: d.endpoint},
			},
		},
		d.readiness,
		&peer.Listener{Address: d.cfg.Peer, Endpoint: d.endpoint, IdleTimeout: idleLinkTimeout},
		d.connections,
		d.routers,
		retryBudget,
		d.exchange,
		d.loads,
		d.crashes,
		d.origins,
		d.watcher,
		d.warmup,
		gossip,
		d.client,
		declarations,
		d.announcer,
	)
	return k.Run(ctx)
}

// reloadOnHangup reloads the settings at each SIGHUP until stop is called.
func (d *Direct) reloadOnHangup() (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			d.reload()
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

// reload applies the settings that can change while the process runs, which are the peers. The others need a restart.
func (d *Direct) reload() {
	cfg, err := load(d.file, d.log)
	if err != nil {
		d.log.Error("settings refused, the old ones stay in force", "error", err)
		return
	}
	d.routers.SetSeeds(cfg.Peers)
	d.log.Info("settings reloaded", "peers", len(cfg.Peers))
}
