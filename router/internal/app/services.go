package app

import (
	"context"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/cold"
	"rattantrack.dev/core/gossip"
	"rattantrack.dev/core/httphead"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/polling"
	"rattantrack.dev/core/relay"
	"rattantrack.dev/core/retry"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/shutdown"
	"rattantrack.dev/core/unresponsive"
	"rattantrack.dev/core/waiting"
	"rattantrack.dev/platform"
	"rattantrack.dev/router/internal/client"
	"rattantrack.dev/router/internal/crashes"
	"rattantrack.dev/router/internal/direct"
	"rattantrack.dev/router/internal/directory"
	"rattantrack.dev/router/internal/engines"
	"rattantrack.dev/router/internal/exchange"
	"rattantrack.dev/router/internal/loads"
	"rattantrack.dev/router/internal/origins"
	"rattantrack.dev/router/internal/routers"
	"rattantrack.dev/router/internal/upstream"
)

// createServices creates the services with references to each other.
func (d *Direct) createServices(incarnation peer.Incarnation) {
	scope := d.metrics.Scope
	inFlight := &inflight.Tracker{}
	d.connections = &upstream.Pool{Dialect: platform.Dialect{}, OnDial: func(_ members.Instance, err error) {
		scope.Tagged(map[string]string{"ok": yesNo(err == nil)}).Counter("upstream_connections").Inc(1)
	}}
	d.routers = &routers.Service{
		ID:              inflight.RouterID(d.cfg.ID),
		Address:         d.cfg.Advertise,
		Incarnation:     incarnation,
		DataCentre:      d.cfg.DataCentre,
		Cores:           d.cfg.Direct.Cores,
		Seeds:           d.cfg.Peers,
		Dialer:          d.endpoint,
		InFlight:        inFlight,
		Unresponsive:    d.unresponsive,
		Affinity:        d.affinity,
		Members:         d.members,
		Evacuations:     d.evacuations,
		Clock:           clock.Boot{},
		Log:             d.log,
		Scope:           scope,
		HasCacheEntries: func() bool { return d.warmup.Complete() },
		DirectoryState:  func() (time.Duration, bool) { return d.watcher.State() },
		CacheQueried:    func() []settings.UpstreamID { return d.warmup.Queried() },
		OnEvents:        d.applyMemberEvents,
		OnEvacuations:   d.recordEvacuations,
	}
	d.exchange = &exchange.Service{
		ID:          inflight.RouterID(d.cfg.ID),
		Address:     d.cfg.Advertise,
		Incarnation: incarnation,
		Routers:     d.routers,
		Dialer:      d.endpoint,
		Sections:    d.routers.Sections(),
		Clock:       clock.Boot{},
		Log:         d.log,
		Scope:       scope,
	}
	d.loads = &loads.Service{
		ID: inflight.RouterID(d.cfg.ID),
		Self: relay.Router{
			Address: d.cfg.Advertise, DataCentre: d.cfg.DataCentre, Cores: d.cfg.Direct.Cores,
		},
		Routers:        d.routers,
		Dialer:         d.endpoint,
		InFlight:       inFlight,
		Members:        d.members,
		RateLimits:     d.rateLimits,
		Work:           d.work,
		DirectoryState: func() (time.Duration, bool) { return d.watcher.State() },
		Clock:          clock.Boot{},
		Log:            d.log,
		Scope:          scope,
	}
	d.crashes = &crashes.Service{
		ID:         inflight.RouterID(d.cfg.ID),
		Routers:    d.routers,
		Dialer:     d.endpoint,
		Quarantine: d.quarantine,
		Clock:      clock.Boot{},
		Log:        d.log,
		Scope:      scope,
	}
	d.origins = &origins.Service{
		ID:           inflight.RouterID(d.cfg.ID),
		Address:      d.cfg.Advertise,
		FirstStart:   d.cfg.Direct.FirstStart,
		Routers:      originRouters{Service: d.routers, directoryAge: d.directoryAge},
		Dialer:       d.endpoint,
		Caches:       d.affinity,
		Demand:       func(name settings.ServiceName, after clock.Instant) { d.warmup.Demand(name, after) },
		DirectoryAge: d.directoryAge,
		Refresh:      func(ctx context.Context) error { return d.watcher.Refresh(ctx) },
		Clock:        clock.Boot{},
		Log:          d.log,
		Scope:        scope,
	}
	d.gossip = &gossip.Service{
		Store: d.store, Dialer: d.endpoint, Log: d.log, Candidates: d.gossipCandidates, OnBehind: d.readDeclarations,
	}
	d.watcher = &directory.Watcher{
		Self:          polling.Candidate{Address: d.cfg.Advertise, Cores: d.cfg.Direct.Cores},
		Routers:       directoryRouters{Service: d.routers, loads: d.loads},
		Source:        &platform.Store{URL: d.cfg.Direct.Directory, HTTP: directoryClient()},
		Store:         d.store,
		Offer:         d.gossip,
		Members:       d.members,
		Evacuations:   d.evacuations,
		Clock:         clock.Boot{},
		Log:           d.log,
		Scope:         scope,
		OnEvents:      d.applyMemberEvents,
		Broadcast:     d.routers.Broadcast,
		OnEvacuations: d.recordEvacuations,
	}
	d.warmup = &engines.Warmup{
		Address:    d.cfg.Advertise,
		Seeds:      d.cfg.Peers,
		FirstStart: d.cfg.Direct.FirstStart,
		Cache:      platform.Engines{HTTP: httphead.NewClient()},
		Routers:    d.routers,
		Members:    d.members,
		Services:   d.cachingServices,
		Affinity:   d.affinity,
		Clock:      clock.Boot{},
		Log:        d.log,
		Scope:      scope,
	}
	limits := d.cfg.Direct.Cold
	d.cold = &cold.Tracker{
		Limits: cold.Limits{Overage: limits.Overage, Slack: limits.Slack}, Self: d.cfg.Advertise, Routers: d.routers.KnownAddresses, OnCold: d.logCold,
	}
	budget := d.cfg.Direct.RetryBudget
	d.budget = &retry.FleetBudget{
		Limits:  retry.Limits{Ratio: budget.Ratio, Slack: budget.Slack, Window: budget.Window},
		Started: clock.Boot{}.Now(),
	}
	stopping := &shutdown.Tracker{}
	dispatcher := &direct.Dispatcher{
		DataCentre:   d.cfg.DataCentre,
		Members:      d.members,
		Evacuations:  d.evacuations,
		InFlight:     inFlight,
		Affinity:     d.affinity,
		Outliers:     d.outliers,
		Unresponsive: d.unresponsive,
		Backoff:      d.backoff,
		Quarantine:   d.quarantine,
		RateLimits:   d.rateLimits,
		Cold:         d.cold,
		ColdLimit:    d.coldLimit,
		Costs:        d.costs,
		Work:         d.work,
		Origins:      d.origins,
		Queues:       &waiting.Queues{},
		Refusals:     &waiting.Refusals{},
		RunTimes:     &waiting.Durations{}, Residence: &waiting.Durations{},
		Demand:       &waiting.Demand{},
		Placements:   &waiting.Rates{},
		FairShare:    d.shares,
		Budget:       d.budget,
		Connections:  d.connections,
		Dialect:      platform.Dialect{},
		Warmup:       d.warmup,
		Shutdown:     stopping,
		Clock:        clock.Boot{},
		KnownRouters: d.routers.Known,
		FleetSize:    d.routers.FleetSize,
		Log:          d.log,
		Scope:        scope,
	}
	dispatcher.OnLeaving = d.recordLeaving
	d.quarantine.OnChange, d.quarantine.OnProbe, d.quarantine.Routers = d.logFinding, d.logProbe, d.routers.Known
	d.unresponsive.OnChange = func(id settings.UpstreamID, noResponse bool) {
		if !noResponse {
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
		Shutdown:   stopping,
		Dialect:    platform.Dialect{},
		Clock:      clock.Boot{},
		Log:        d.log,
		Scope:      scope,
		Memory:     &memorybudget.Budget{Limit: d.cfg.Limits.RequestMemory},
		Limit:      clientLimit("client", d.cfg, d.log, scope),
	}
	d.readiness = &readiness{
		address: d.cfg.Direct.Readiness, path: platform.ReadyPath, ready: d.ready,
		limit: operator.PortLimit("readiness", d.cfg.Descriptors, d.log, d.metrics),
	}
	d.announcer = &operator.Announcer{Log: d.log, Message: "router ready"}
}
