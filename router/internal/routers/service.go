package routers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/unresponsive"
)

// Times and sizes of the exchange.
const (
	// minInterval is the time between two exchanges with one router in a small fleet.
	minInterval = 50 * time.Millisecond
	// intervalPerRouter lengthens the interval with the number of routers, so that a router begins fewer than a hundred
	// exchanges per second.
	intervalPerRouter = 12 * time.Millisecond
	// exchangeTimeout bounds an exchange. A link on which it expires is closed, and the next exchange opens a new one.
	exchangeTimeout = 700 * time.Millisecond
	// retryPause is the pause after a failed exchange. startRetryPause applies for startTime after the start, to a router
	// that the settings name and that has not responded yet: routers that start together find each other through it.
	retryPause      = 500 * time.Millisecond
	startRetryPause = 60 * time.Millisecond
	startTime       = 3 * time.Second
	// addressesInterval is how often unchanged addresses of routers are sent again to one that may have missed them.
	addressesInterval = 15 * time.Second
	// forgetTime is how long a router without contact is kept, unless the settings name it.
	forgetTime = 30 * time.Second
	// maxPending bounds the updates queued for one router. Above it all instances are sent again and the queued cache
	// updates are dropped, which are sent again at the next use of their prompts. The cache entries of a fleet's engines
	// that a warm-up reads stay below it.
	maxPending = 16_384
	// backlogTime and maxBacklog bound the recent cache updates that are kept for routers discovered later.
	backlogTime = 10 * time.Second
	maxBacklog  = 8192
	// maxRecent bounds the cache entries sent to a router that has just started, at 9 bytes each.
	maxRecent = 16_384
)

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// Dialer returns links to the routers at the given addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
	Redial(ctx context.Context, address string, old *peer.Link) (*peer.Link, error)
}

// router is another router with the updates that are queued for it.
type router struct {
	address     string
	seed        bool
	incarnation peer.Incarnation
	// fullStateSent reports that the router has been sent all instances, so that changes are enough.
	fullStateSent bool
	// sentAddresses is the digest of the routers' addresses that the router was last sent, 0 for none, and sentAt is when.
	sentAddresses uint64
	sentAt        clock.Instant
	cacheUpdates  []affinity.CacheEntry
	updateTimes   []clock.Instant
	memberChanges []members.Change
	// lastExchange is when an exchange from here last succeeded, lastReceived when the router last sent its state. since is
	// when the router was added or, later, when an exchange last failed.
	lastExchange, lastReceived, since clock.Instant
	lost                              bool
	// lostAt is when the router was last lost, restartedAt when another process was first noticed at its address.
	lostAt      clock.Instant
	restartedAt clock.Instant
	exchanging  bool
	// hasCacheEntries reports that the cache warm-up of the router has ended, so that it can send its cache entries.
	hasCacheEntries bool
	// directoryRead is when the router last read the directory, directoryFailing reports that it cannot read it.
	directoryRead    clock.Instant
	directoryFailing bool
	cores            float64
	// dataCentre and version are those of the latest link.
	dataCentre settings.DataCentre
	version    int
	tableEntry
}

// reachable reports whether the router has exchanged states with this one, whichever of the two began, and the last
// exchange from here did not fail.
func (r *router) reachable() bool { return !r.lost && r.lastSign() != 0 }

// runsAs records the process that runs at the router's address, and reports whether it is another one than before.
func (r *router) runsAs(now clock.Instant, incarnation peer.Incarnation) bool {
	if r.incarnation == incarnation {
		return false
	}
	if r.incarnation != "" {
		r.restartedAt = now
	}
	r.incarnation = incarnation
	return true
}

// lastSign is when the router last showed that it runs.
func (r *router) lastSign() clock.Instant { return max(r.lastExchange, r.lastReceived, r.beatAt) }

// Service exchanges states with all other routers.
type Service struct {
	ID          inflight.RouterID
	Address     string
	Incarnation peer.Incarnation
	DataCentre  settings.DataCentre
	// Cores is the number of processor cores that the VM gives this router, 0 if unknown.
	Cores        float64
	Seeds        []string
	Dialer       Dialer
	InFlight     *inflight.Tracker
	Unresponsive *unresponsive.Detector
	Affinity     *affinity.Index
	Members      *members.Registry
	Evacuations  *evacuation.Tracker
	Clock        Clock
	Log          *log.Logger
	Scope        tally.Scope
	// HasCacheEntries reports whether the cache warm-up of this router has ended, so that it can send its cache entries.
	HasCacheEntries func() bool
	// DirectoryState returns how long ago this router read the directory, and whether it cannot read it.
	DirectoryState func() (age time.Duration, failing bool)
	// CacheQueried returns the upstreams whose caches this router has queried recently.
	CacheQueried func() []settings.UpstreamID
	// OnEvents is called with the instance events that another router's state caused here.
	OnEvents func(source string, events []members.Event)
	// OnEvacuations is called with the evacuations and their ends that another router's state brought here.
	OnEvacuations func(source string, changes []evacuation.Change)

	started clock.Instant
	mu      sync.Mutex
	routers map[string]*router
	// forgottenLostAt is when the last of the forgotten routers was lost.
	forgottenLostAt clock.Instant
	wg              sync.WaitGroup
	// backlog holds the latest cache updates of this router, backlogTimes when each was added.
	backlog      []affinity.CacheEntry
	backlogTimes []clock.Instant
	// cacheEntriesReceived reports that another router has sent its cache entries.
	cacheEntriesReceived bool
	// requestingEntries reports that an open exchange requests the other router's cache entries. One response is enough, and
	// each holds thousands of entries.
	requestingEntries bool
	// queriedByOthers holds the upstreams whose caches other routers have queried.
	queriedByOthers map[settings.UpstreamID]bool
	tree            tree
}

// String returns the service's name.
func (s *Service) String() string { return "routers" }

// Run exchanges states until ctx ends.
func (s *Service) Run(ctx context.Context, ready func()) error {
	s.started = s.Clock.Now()
	s.SetSeeds(s.Seeds)
	ready()
	t := time.NewTicker(minInterval)
	defer t.Stop()
	defer s.wg.Wait()
	for {
		s.startDue(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// SetSeeds replaces the routers that the settings name.
func (s *Service) SetSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.routers {
		r.seed = slices.Contains(addresses, r.address)
	}
	for _, address := range addresses {
		s.routerAt(address).seed = true
	}
}

// routerAt returns the router at an address and adds it if it is new. The caller holds the lock.
func (s *Service) routerAt(address string) *router {
	if s.routers == nil {
		s.routers = make(map[string]*router)
	}
	r := s.routers[address]
	if r == nil {
		r = &router{address: address, since: s.Clock.Now()}
		if !s.tree.large {
			r.cacheUpdates, r.updateTimes = slices.Clone(s.backlog), slices.Clone(s.backlogTimes)
		}
		s.routers[address] = r
	}
	return r
}

// interval returns the time between two exchanges with one router. The caller holds the lock.
func (s *Service) interval() time.Duration {
	return max(minInterval, time.Duration(len(s.routers))*intervalPerRouter)
}

// startDue starts the exchanges that are due, each in its own goroutine.
func (s *Service) startDue(ctx context.Context) {
	s.queueCacheUpdates()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.reviewTree(now)
	interval := s.interval()
	for address, r := range s.routers {
		if address == s.Address || r.exchanging {
			continue
		}
		if !r.seed && now.Sub(max(r.lastSign(), r.since)) > forgetTime {
			s.forget(r)
			continue
		}
		if !s.contacts(r, now) {
			continue
		}
		due := max(r.lastExchange, r.lastReceived).Add(interval)
		switch {
		case r.lost:
			due = r.since.Add(s.retryAfter(r, now))
		case s.needsEntries(r):
			due = now
		}
		if now.Before(due) {
			continue
		}
		r.exchanging = true
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.exchange(ctx, r)
		}()
	}
}

// retryAfter returns the pause after a failed exchange with a router.
func (s *Service) retryAfter(r *router, now clock.Instant) time.Duration {
	if r.seed && r.lastExchange == 0 && now.Sub(s.started) < startTime {
		return startRetryPause
	}
	return retryPause
}

// exchange sends the state of this router to another one and merges the state in its response.
func (s *Service) exchange(ctx context.Context, r *router) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	state := s.state(r, true, false)
	if state.WantsCacheEntries = s.beginEntriesRequest(r); state.WantsCacheEntries {
		defer s.endEntriesRequest()
	}
	response, link, err := s.request(ctx, r.address, state)
	now := s.Clock.Now()
	s.mu.Lock()
	r.exchanging = false
	if err != nil {
		s.recordFailure(r, state, now)
		s.mu.Unlock()
		return
	}
	r.fullStateSent = true
	r.dataCentre, r.version = link.Remote().DataCentre, link.Version()
	s.recordSuccess(r, now)
	s.mu.Unlock()
	s.merge(response, link.Remote().DataCentre)
	if state.WantsCacheEntries && response.HasCacheEntries {
		s.setCacheEntriesReceived()
	}
}

// needsEntries reports whether this router should request the cache entries of another one. The caller holds the lock.
func (s *Service) needsEntries(r *router) bool {
	return s.direct(r) && r.hasCacheEntries && !s.requestingEntries && !s.cacheEntriesReceived && !s.HasCacheEntries()
}

// beginEntriesRequest reports whether an exchange that begins now should request the cache entries of the router, and marks
// the request as open.
func (s *Service) beginEntriesRequest(r *router) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.needsEntries(r) {
		return false
	}
	s.requestingEntries = true
	return true
}

func (s *Service) endEntriesRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestingEntries = false
}

func (s *Service) setCacheEntriesReceived() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cacheEntriesReceived = true
}

func (s *Service) request(ctx context.Context, address string, state *peer.RouterState) (*peer.RouterState, *peer.Link, error) {
	link, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	response, err := peer.Request[*peer.RouterState](ctx, link, understood(link, state), exchangeTimeout)
	if err != nil {
		// The path may be broken although the link is still open, so the next exchange opens a new link.
		link.Close(err)
	}
	return response, link, err
}

// recordSuccess records a successful exchange. The caller holds the lock.
func (s *Service) recordSuccess(r *router, now clock.Instant) {
	if r.lost || r.lastExchange == 0 {
		s.Log.Info("router met", "router", r.address, "lost", r.lost)
	}
	r.lastExchange, r.lost = now, false
}

// recordFailure records a failed exchange. The caller holds the lock.
func (s *Service) recordFailure(r *router, state *peer.RouterState, now clock.Instant) {
	if !r.lost {
		r.lostAt = now
		s.Log.Warn("router lost", "router", r.address)
		s.Scope.Counter("routers_lost").Inc(1)
	}
	r.lost, r.since = true, now
	s.claimLost(r)
	// The router may have applied only a part of the changes, so it is sent all instances again. The cache updates of this
	// exchange are not queued again.
	r.fullStateSent, r.sentAddresses = false, 0
}

// Serve merges another router's state and responds with the state here. It returns false for other kinds of messages.
func (s *Service) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	state, ok := m.(*peer.RouterState)
	if !ok {
		return false
	}
	s.mu.Lock()
	r := s.routerAt(state.Address)
	r.lastReceived = s.Clock.Now()
	if r.runsAs(r.lastReceived, state.Incarnation) {
		r.fullStateSent, r.sentAddresses = false, 0
	}
	if s.tree.large {
		// This router may not begin another exchange with it.
		r.lost = false
	}
	r.dataCentre, r.version = st.Link().Remote().DataCentre, st.Link().Version()
	s.mu.Unlock()
	s.merge(state, st.Link().Remote().DataCentre)
	reply := understood(st.Link(), s.state(r, false, state.WantsCacheEntries && s.HasCacheEntries()))
	if err := st.Send(ctx, reply); err != nil {
		s.Log.Debug("cannot send the state to a router", "router", state.Router, "error", err)
	}
	return true
}
