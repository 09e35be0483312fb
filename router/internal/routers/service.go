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
	// perRouter lengthens the interval with the number of routers, so that the exchanges of one router stay below a
	// hundred a second.
	perRouter = 12 * time.Millisecond
	// answerTime is how long an exchange may take; a link that is slower is made anew.
	answerTime = 700 * time.Millisecond
	// retryTime is the pause after a failed exchange, startRetryTime the one towards a router that the settings name and
	// that has not answered yet: routers that start together find each other through it within startTime.
	retryTime      = 500 * time.Millisecond
	startRetryTime = 60 * time.Millisecond
	startTime      = 3 * time.Second
	// forgetTime is how long a router that does not answer is remembered, unless the settings name it.
	forgetTime = 30 * time.Second
	// maxPending bounds the news kept for one router. Above it the instances are told anew as a whole, and the cached
	// prompts are left out, which are told again at their next use. It holds the inventory of a fleet's engines.
	maxPending = 16_384
	// backlogTime and maxBacklog bound the news that a router is told that becomes known only later.
	backlogTime = 10 * time.Second
	maxBacklog  = 8192
	// maxRecent bounds the cached prompts that a router is told that has just started, 9 bytes each.
	maxRecent = 16_384
)

// Clock gives the present instant.
type Clock interface {
	Now() clock.Instant
}

// Dialer gives links to addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
	Redial(ctx context.Context, address string, old *peer.Link) (*peer.Link, error)
}

// router is another router with the news that it has not heard yet.
type router struct {
	address     string
	seed        bool
	incarnation peer.Incarnation
	// greeted says that it has got everything once.
	greeted  bool
	holdings []affinity.CacheEntry
	stamps   []clock.Instant
	members  []members.Change
	// met is the last exchange that succeeded, heard the last message of the other side.
	met, heard, since clock.Instant
	lost              bool
	running           bool
	// knows says that the router knows which prompts are cached where.
	knows bool
	// informed is when the router has read the directory, failing says that it cannot.
	informed clock.Instant
	failing  bool
	cores    float64
}

// alive reports whether the router has exchanged states with this one, whichever of the two began, and still does.
func (r *router) alive() bool { return !r.lost && (r.met != 0 || r.heard != 0) }

// Service exchanges states with every other router.
type Service struct {
	ID          inflight.RouterID
	Address     string
	Incarnation peer.Incarnation
	// Cores is the processor that the VM gives this router, in cores; 0 where it is not known.
	Cores        float64
	Seeds        []string
	Dialer       Dialer
	InFlight     *inflight.Tracker
	Unresponsive *unresponsive.Detector
	Affinity     *affinity.Index
	Members      *members.Registry
	Clock        Clock
	Log          *log.Logger
	Scope        tally.Scope
	// HasCacheEntries reports whether this router knows which prompts are cached where.
	HasCacheEntries func() bool
	// DirectoryState returns how long ago this router has read the directory, and whether it cannot.
	DirectoryState func() (age time.Duration, failing bool)
	// CacheQueried returns the upstreams whose cached prompts this router has just asked for.
	CacheQueried func() []settings.UpstreamID
	// OnEvents hears of what another router's news changed.
	OnEvents func(source string, events []members.Event)

	started clock.Instant
	mu      sync.Mutex
	routers map[string]*router
	wg      sync.WaitGroup
	// backlog is the latest news of cached prompts from here, with the times of their use.
	backlog []affinity.CacheEntry
	stamps  []clock.Instant
	// learnt says that a router that knows the cached prompts has told them all.
	learnt bool
	// wanting says that an exchange is open that asks for all cached prompts: one answer is enough, and each holds
	// thousands of entries.
	wanting bool
	// inventoried are the upstreams whose cached prompts others have asked for.
	inventoried map[settings.UpstreamID]bool
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
		s.startAll(ctx)
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
		s.add(address).seed = true
	}
}

// add returns the router at an address; the caller holds the lock.
func (s *Service) add(address string) *router {
	if s.routers == nil {
		s.routers = make(map[string]*router)
	}
	r := s.routers[address]
	if r == nil {
		r = &router{address: address, since: s.Clock.Now()}
		r.holdings, r.stamps = slices.Clone(s.backlog), slices.Clone(s.stamps)
		s.routers[address] = r
	}
	return r
}

// interval is the time between two exchanges with one router.
func (s *Service) interval() time.Duration {
	return max(minInterval, time.Duration(len(s.routers))*perRouter)
}

// startAll begins the exchanges that are due, each beside the others.
func (s *Service) startAll(ctx context.Context) {
	s.spreadHoldings()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	interval := s.interval()
	for address, r := range s.routers {
		if address == s.Address || r.running {
			continue
		}
		if !r.seed && now.Sub(max(r.met, r.heard, r.since)) > forgetTime {
			delete(s.routers, address)
			continue
		}
		due := max(r.met, r.heard).Add(interval)
		switch {
		case r.lost:
			due = r.since.Add(s.retryAfter(r, now))
		case s.wants(r):
			due = now
		}
		if now.Before(due) {
			continue
		}
		r.running = true
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.exchange(ctx, r)
		}()
	}
}

// retryAfter is the pause after a failed exchange with a router.
func (s *Service) retryAfter(r *router, now clock.Instant) time.Duration {
	if r.seed && r.met == 0 && now.Sub(s.started) < startTime {
		return startRetryTime
	}
	return retryTime
}

// exchange tells one router the state here and takes in its own.
func (s *Service) exchange(ctx context.Context, r *router) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	state := s.state(r, true, false)
	if state.WantsCacheEntries = s.beginWanting(r); state.WantsCacheEntries {
		defer s.endWanting()
	}
	answer, err := s.ask(ctx, r.address, state)
	now := s.Clock.Now()
	s.mu.Lock()
	r.running = false
	if err != nil {
		s.requeue(r, state, now)
		s.mu.Unlock()
		return
	}
	r.greeted = true
	s.meet(r, now)
	s.mu.Unlock()
	s.learn(answer)
	if state.WantsCacheEntries && answer.HasCacheEntries {
		s.setLearnt()
	}
}

// wants reports whether this router should ask another one for all cached prompts; the caller holds the lock.
func (s *Service) wants(r *router) bool {
	return r.knows && !s.wanting && !s.learnt && !s.HasCacheEntries()
}

// beginWanting reports whether an exchange that begins now should ask for all cached prompts.
func (s *Service) beginWanting(r *router) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.wants(r) {
		return false
	}
	s.wanting = true
	return true
}

func (s *Service) endWanting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wanting = false
}

func (s *Service) setLearnt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learnt = true
}

func (s *Service) ask(ctx context.Context, address string, state *peer.RouterState) (*peer.RouterState, error) {
	l, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	answer, err := peer.Ask[*peer.RouterState](ctx, l, state, answerTime)
	if err != nil {
		// The link may have lost its path without an end; the next exchange makes a new one.
		l.Close(err)
	}
	return answer, err
}

// meet notes an exchange that succeeded; the caller holds the lock.
func (s *Service) meet(r *router, now clock.Instant) {
	if r.lost || r.met == 0 {
		s.Log.Info("router met", "router", r.address, "lost", r.lost)
	}
	r.met, r.lost = now, false
}

// requeue keeps the news of a failed exchange for the next one; the caller holds the lock.
func (s *Service) requeue(r *router, state *peer.RouterState, now clock.Instant) {
	if !r.lost {
		s.Log.Warn("router lost", "router", r.address)
		s.Scope.Counter("routers_lost").Inc(1)
	}
	r.lost, r.since = true, now
	// The router may have taken in a part of the changes, so it gets all instances once more.
	r.greeted = false
}

// Serve answers another router's state; it reports false for messages of other services.
func (s *Service) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	v, ok := m.(*peer.RouterState)
	if !ok {
		return false
	}
	s.mu.Lock()
	r := s.add(v.Address)
	if r.incarnation != v.Incarnation {
		r.incarnation, r.greeted = v.Incarnation, false
	}
	r.heard = s.Clock.Now()
	s.mu.Unlock()
	s.learn(v)
	if err := st.Send(ctx, s.state(r, false, v.WantsCacheEntries && s.HasCacheEntries())); err != nil {
		s.Log.Debug("answering a router", "router", v.Router, "error", err)
	}
	return true
}
