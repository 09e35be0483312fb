package app

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/gossip"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/kernel"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/outlier"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/polling"
	"rattantrack.dev/core/retry"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/routing"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/unresponsive"
	"rattantrack.dev/core/waiting"
	"rattantrack.dev/platform"
	"rattantrack.dev/router/internal/client"
	"rattantrack.dev/router/internal/direct"
	"rattantrack.dev/router/internal/directory"
	"rattantrack.dev/router/internal/engines"
	"rattantrack.dev/router/internal/routers"
	"rattantrack.dev/router/internal/upstream"
)

// Memory and garbage collection of a direct router.
const (
	// memoryShare is the part of the VM's memory that the heap may take; stacks and socket buffers need the rest.
	memoryShare = 0.7
	// gcPercent trades memory for processor time, within the limit above.
	gcPercent = 50
)

// Times towards the directory.
const (
	directoryDialTime   = 500 * time.Millisecond
	directorySilentTime = 1500 * time.Millisecond
	directoryIdleTime   = 30 * time.Second
)

// linkDialTime is how long a link to another router of the region may take to be made. A machine that is about to start
// drops the first packet, and the kernel sends it again only after 1 s (RFC 6298).
const linkDialTime = 250 * time.Millisecond

// Direct is one router process that reaches the upstreams itself.
type Direct struct {
	cfg     settings.Router
	file    string
	log     *log.Logger
	metrics *operator.Metrics

	store       *revision.Store
	members     *members.Registry
	affinity    *affinity.Index
	outliers    *outlier.Detector
	silence     *unresponsive.Detector
	connections *upstream.Pool
	endpoint    *peer.Endpoint
	spread      *gossip.Service
	routers     *routers.Service
	client      *client.Server
	watch       *directory.Watcher
	inventory   *engines.Warmup
	readiness   *readiness
	announcer   *operator.Announcer
}

// NewDirect returns a router process with the given settings.
func NewDirect(cfg settings.Router, file string, l *log.Logger) (*Direct, error) {
	limitMemory(cfg.Direct.MemoryMB)
	d := &Direct{
		cfg:      cfg,
		file:     file,
		log:      l,
		metrics:  operator.NewMetrics("router"),
		store:    &revision.Store{},
		members:  &members.Registry{},
		affinity: &affinity.Index{},
		outliers: &outlier.Detector{},
		silence:  &unresponsive.Detector{},
	}
	var incarnation peer.Incarnation
	var err error
	if d.endpoint, incarnation, err = newEndpoint(cfg, d.store, d, l); err != nil {
		return nil, err
	}
	d.endpoint.DialTimeout = linkDialTime
	d.connect(incarnation)
	return d, nil
}

func limitMemory(mb int64) {
	if mb <= 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(mb<<20)))
}

// connect makes the services and ties them to each other.
func (d *Direct) connect(incarnation peer.Incarnation) {
	scope := d.metrics.Scope
	ledger := &inflight.Tracker{}
	d.connections = &upstream.Pool{Dialect: platform.Dialect{}, OnDial: func(_ members.Instance, err error) {
		scope.Tagged(map[string]string{"ok": yesNo(err == nil)}).Counter("upstream_connections").Inc(1)
	}}
	d.routers = &routers.Service{
		ID:              inflight.RouterID(d.cfg.ID),
		Address:         d.cfg.Advertise,
		Incarnation:     incarnation,
		Cores:           d.cfg.Direct.Cores,
		Seeds:           d.cfg.Peers,
		Dialer:          d.endpoint,
		InFlight:        ledger,
		Unresponsive:    d.silence,
		Affinity:        d.affinity,
		Members:         d.members,
		Clock:           clock.Boot{},
		Log:             d.log,
		Scope:           scope,
		HasCacheEntries: func() bool { return d.inventory.Complete() },
		DirectoryState:  func() (time.Duration, bool) { return d.watch.State() },
		CacheQueried:    func() []settings.UpstreamID { return d.inventory.Queried() },
		OnEvents:        d.changed,
	}
	d.spread = &gossip.Service{Store: d.store, Dialer: d.endpoint, Log: d.log, Candidates: d.routers.Known}
	d.watch = &directory.Watcher{
		Self:      polling.Candidate{Address: d.cfg.Advertise, Cores: d.cfg.Direct.Cores},
		Routers:   d.routers,
		Source:    &platform.Store{URL: d.cfg.Direct.Directory, HTTP: directoryClient()},
		Store:     d.store,
		Offer:     d.spread,
		Members:   d.members,
		Clock:     clock.Boot{},
		Log:       d.log,
		Scope:     scope,
		OnEvents:  d.changed,
		Broadcast: d.routers.Broadcast,
	}
	d.inventory = &engines.Warmup{
		Address:    d.cfg.Advertise,
		Seeds:      d.cfg.Peers,
		FirstStart: d.cfg.Direct.FirstStart,
		Cache:      platform.Engines{HTTP: &http.Client{}},
		Routers:    d.routers,
		Members:    d.members,
		Services:   d.cachingServices,
		Affinity:   d.affinity,
		Clock:      clock.Boot{},
		Log:        d.log,
		Scope:      scope,
	}
	repeats := d.cfg.Direct.RetryBudget
	dispatcher := &direct.Dispatcher{
		DataCentre:   d.cfg.DataCentre,
		Members:      d.members,
		InFlight:     ledger,
		Affinity:     d.affinity,
		Outliers:     d.outliers,
		Unresponsive: d.silence,
		Queues:       &waiting.Queues{},
		Budget:       &retry.FleetBudget{Limits: retry.Limits{Ratio: repeats.Ratio, Slack: repeats.Slack, Window: repeats.Window}},
		Connections:  d.connections,
		Dialect:      platform.Dialect{},
		Warmup:       d.inventory,
		Clock:        clock.Boot{},
		Log:          d.log,
		Scope:        scope,
	}
	d.silence.OnChange = func(id settings.UpstreamID, silent bool) {
		if !silent {
			d.log.Info("upstream heard again", "upstream", id)
			return
		}
		d.log.Warn("upstream silent", "upstream", id, "quiet_ms", unresponsive.ResponseTimeout.Milliseconds())
	}
	d.client = &client.Server{
		Address:    d.cfg.Caller,
		NoticeTime: d.cfg.NoticeTime,
		DrainTime:  d.cfg.DrainTime,
		Dispatcher: dispatcher,
		Dialect:    platform.Dialect{},
		Clock:      clock.Boot{},
		Log:        d.log,
		Scope:      scope,
	}
	d.readiness = &readiness{address: d.cfg.Direct.Readiness, path: platform.ReadyPath, ready: d.ready}
	d.announcer = &operator.Announcer{Log: d.log, Message: "router ready"}
}

// cachingServices returns the services whose upstreams cache prompts, nil while there are no declarations.
func (d *Direct) cachingServices() []settings.ServiceName {
	_, fleet := d.store.Current()
	if fleet == nil {
		return nil
	}
	list := []settings.ServiceName{}
	for name, s := range fleet.Services {
		if s.Kind == settings.KindModel {
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

// directoryClient returns an HTTP client whose connections end soon after their path has died.
func directoryClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         directoryDialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         upstream.UserTimeout(directorySilentTime),
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:        dialer.DialContext,
		DisableCompression: true,
		IdleConnTimeout:    directoryIdleTime,
	}}
}

// changed takes in changes of instances.
func (d *Direct) changed(source string, events []members.Event) {
	for _, e := range events {
		d.log.Info("instance", "upstream", e.ID, "change", e.Kind, "service", e.Instance.Service, "address", e.Instance.Address,
			"entry_revision", e.Revision, "source", source)
		switch e.Kind {
		case members.EventRemoved:
			d.connections.Forget(e.Instance)
			d.affinity.Forget(e.ID)
			d.outliers.Forget(e.ID)
			d.silence.Forget(e.ID)
		case members.EventRestarted:
			d.affinity.Forget(e.ID)
			d.outliers.Forget(e.ID)
			d.silence.Forget(e.ID)
		case members.EventDraining:
			d.connections.Forget(e.Instance)
		}
	}
}

// declare puts an accepted version of the declarations in force.
func (d *Direct) declare(c revision.Change) {
	table := routing.New(c.Fleet, c.Version.Revision)
	d.client.SetTable(table)
	d.log.Info("declarations in force", "revision", c.Version.Revision, "changed", len(c.Documents), "routes", len(c.Fleet.Routes),
		"teams", len(c.Fleet.Teams), "idle_time", table.Limits.IdleTime, "header_time", table.Limits.HeaderTime)
}

// ready reports whether the balancer should send connections.
func (d *Direct) ready() bool {
	return d.client.HasDeclarations() && d.members.Complete() && d.inventory.Warm() && !d.client.Stopping()
}

// Serve gives a peer's message to the service that answers it.
func (d *Direct) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	if d.routers.Serve(ctx, st, m) || d.spread.Serve(ctx, st, m) {
		return
	}
	d.log.Warn("unexpected message", "kind", m.Kind(), "peer", st.Link().Remote().ID)
}

// Run runs the process until ctx ends and all its requests are answered.
func (d *Direct) Run(ctx context.Context) error {
	defer func() { _ = d.metrics.Close() }()
	d.store.Watch(d.declare)
	stop := d.reloadOnHangup()
	defer stop()
	k := &kernel.Kernel{}
	// Clients are answered from the start, so that one who comes early is told when to come back.
	k.Add(
		&operator.Server{
			Address: d.cfg.Operator,
			Metrics: d.metrics,
			Ready:   d.ready,
			Dumpers: []operator.Dumper{d.client, d.members, d.routers, d.spread, &operator.Links{Endpoint: d.endpoint}},
		},
		d.readiness,
		&peer.Listener{Address: d.cfg.Peer, Endpoint: d.endpoint, IdleTimeout: idleLinkTime},
		d.connections,
		d.routers,
		d.watch,
		d.inventory,
		d.client,
		d.spread,
		d.announcer,
	)
	return k.Run(ctx)
}

// reloadOnHangup reads the settings anew at each SIGHUP.
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

// reload takes over the settings that can change while the process runs; the others need a restart.
func (d *Direct) reload() {
	cfg, err := load(d.file)
	if err != nil {
		d.log.Error("settings refused, the old ones stay in force", "error", err)
		return
	}
	d.routers.SetSeeds(cfg.Peers)
	d.log.Info("settings reloaded", "peers", len(cfg.Peers))
}

// readiness answers the balancer.
type readiness struct {
	address, path string
	ready         func() bool
}

// readinessStopTime bounds the answers that are still open at the end.
const readinessStopTime = 100 * time.Millisecond

// String returns the service's name.
func (r *readiness) String() string { return "readiness" }

// Run serves until ctx ends.
func (r *readiness) Run(ctx context.Context, ready func()) error {
	srv := &http.Server{Handler: r, ReadHeaderTimeout: settings.DefaultHeaderTime}
	return operator.ServeHTTP(ctx, srv, r.address, readinessStopTime, ready)
}

// ServeHTTP answers one question.
func (r *readiness) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path != r.path:
		w.WriteHeader(http.StatusNotFound)
	case !r.ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
