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
	"rattantrack.dev/core/readers"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/silence"
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
	DialFresh(ctx context.Context, address string, old *peer.Link) (*peer.Link, error)
}

// router is another router with the news that it has not heard yet.
type router struct {
	address     string
	seed        bool
	incarnation peer.Incarnation
	// greeted says that it has got everything once.
	greeted  bool
	holdings []affinity.Holding
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
	Cores    float64
	Seeds    []string
	Dialer   Dialer
	Ledger   *inflight.Ledger
	Silence  *silence.Detector
	Affinity *affinity.Directory
	Members  *members.Book
	Clock    Clock
	Log      *log.Logger
	Scope    tally.Scope
	// KnowsHoldings reports whether this router knows which prompts are cached where.
	KnowsHoldings func() bool
	// Directory returns how long ago this router has read the directory, and whether it cannot.
	Directory func() (age time.Duration, failing bool)
	// Inventoried returns the upstreams whose cached prompts this router has just asked for.
	Inventoried func() []settings.UpstreamID
	// OnEvents hears of what another router's news changed.
	OnEvents func(source string, events []members.Event)

	started clock.Instant
	mu      sync.Mutex
	routers map[string]*router
	wg      sync.WaitGroup
	// backlog is the latest news of cached prompts from here, with the times of their use.
	backlog []affinity.Holding
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

// spreadHoldings queues what this router has learnt of cached prompts for every other router.
func (s *Service) spreadHoldings() {
	now := s.Clock.Now()
	news := s.Affinity.News(now)
	if len(news) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep(now, news)
	for _, r := range s.routers {
		for _, n := range news {
			r.holdings = append(r.holdings, n)
			r.stamps = append(r.stamps, now)
		}
		if len(r.holdings) > maxPending {
			r.holdings, r.stamps = nil, nil
		}
	}
}

// keep adds news to the backlog and drops what is too old; the caller holds the lock.
func (s *Service) keep(now clock.Instant, news []affinity.Holding) {
	for _, n := range news {
		s.backlog = append(s.backlog, n)
		s.stamps = append(s.stamps, now)
	}
	drop := max(0, len(s.backlog)-maxBacklog)
	for drop < len(s.stamps) && now.Sub(s.stamps[drop]) > backlogTime {
		drop++
	}
	s.backlog = slices.Delete(s.backlog, 0, drop)
	s.stamps = slices.Delete(s.stamps, 0, drop)
}

// Tell queues changes of instances for every other router.
func (s *Service) Tell(changes []members.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.routers {
		r.members = append(r.members, changes...)
		if len(r.members) > maxPending {
			r.members, r.greeted = nil, false
		}
	}
}

// exchange tells one router the state here and takes in its own.
func (s *Service) exchange(ctx context.Context, r *router) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	state := s.state(r, true, false)
	state.WantsHoldings = s.beginWanting(r)
	answer, err := s.ask(ctx, r.address, state)
	now := s.Clock.Now()
	s.mu.Lock()
	r.running = false
	if state.WantsHoldings {
		s.wanting = false
		s.learnt = s.learnt || (err == nil && answer.KnowsHoldings)
	}
	if err != nil {
		s.requeue(r, state, now)
		s.mu.Unlock()
		return
	}
	r.greeted = true
	s.meet(r, now)
	s.mu.Unlock()
	s.learn(answer)
}

// wants reports whether this router should ask another one for all cached prompts; the caller holds the lock.
func (s *Service) wants(r *router) bool {
	return r.knows && !s.wanting && !s.learnt && !s.KnowsHoldings()
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

// state returns what another router should hear now: the news of cached prompts since the last time, or all of them.
func (s *Service) state(r *router, asking, allHoldings bool) *peer.RouterState {
	now := s.Clock.Now()
	state := &peer.RouterState{
		Router: s.ID, Address: s.Address, Incarnation: s.Incarnation, Cores: s.Cores, Open: s.Ledger.Own(),
		Signs: s.Silence.Own(now), KnowsHoldings: s.KnowsHoldings(),
	}
	state.Inventoried = s.Inventoried()
	// The age is taken before the changes are, so that it never vouches for changes that are not told.
	state.DirectoryAge, state.DirectoryFailing = s.Directory()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, other := range s.routers {
		if address != r.address && other.alive() {
			state.Routers = append(state.Routers, address)
		}
	}
	if !r.greeted {
		state.Listed = s.Members.Known()
		state.Members = s.Members.Listing()
		r.greeted = !asking
	} else {
		state.Members = r.members
	}
	holdings := r.holdings
	for i := range holdings {
		holdings[i].Age += now.Sub(r.stamps[i])
	}
	if allHoldings {
		holdings = s.Affinity.Recent(now, maxRecent)
	}
	state.Holdings = affinity.Pack(holdings)
	r.members, r.holdings, r.stamps = nil, nil, nil
	return state
}

// learn takes in another router's state.
func (s *Service) learn(m *peer.RouterState) {
	now := s.Clock.Now()
	s.Ledger.Report(now, m.Router, m.Open)
	s.Silence.Report(now, m.Router, m.Open, m.Signs)
	holdings, err := affinity.Unpack(m.Holdings)
	if err != nil {
		s.Log.Warn("cached prompts of a router refused", "router", m.Router, "error", err)
	}
	s.Affinity.Learn(now, holdings)
	events := s.Members.Learn(now, m.Members)
	if m.Listed && !s.Members.Known() {
		s.Members.MarkKnown()
		s.Log.Info("instances learnt from a router", "router", m.Router, "instances", len(m.Members))
	}
	if len(events) > 0 {
		s.OnEvents(string(m.Router), events)
		s.Tell(changed(m.Members, events))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range m.Inventoried {
		if s.inventoried == nil {
			s.inventoried = make(map[settings.UpstreamID]bool)
		}
		s.inventoried[id] = true
	}
	from := s.add(m.Address)
	from.cores = m.Cores
	from.failing, from.knows = m.DirectoryFailing, m.KnowsHoldings
	from.informed = max(from.informed, now.Add(-m.DirectoryAge))
	for _, address := range m.Routers {
		if address != s.Address {
			s.add(address)
		}
	}
}

// changed returns the changes that were news here, which other routers may lack too.
func changed(all []members.Change, events []members.Event) []members.Change {
	var list []members.Change
	for _, c := range all {
		if slices.ContainsFunc(events, func(e members.Event) bool { return e.ID == c.ID }) {
			list = append(list, c)
		}
	}
	return list
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
	if err := st.Send(ctx, s.state(r, false, v.WantsHoldings && s.KnowsHoldings())); err != nil {
		s.Log.Debug("answering a router", "router", v.Router, "error", err)
	}
	return true
}

// Known returns the addresses of the other routers.
func (s *Service) Known() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for address := range s.routers {
		if address != s.Address {
			list = append(list, address)
		}
	}
	return list
}

// Met returns the addresses of the other routers that answered last.
func (s *Service) Met() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for address, r := range s.routers {
		if address != s.Address && r.alive() {
			list = append(list, address)
		}
	}
	return list
}

// InventoriedByOthers reports whether another router has asked for the cached prompts of an upstream.
func (s *Service) InventoriedByOthers(id settings.UpstreamID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inventoried[id]
}

// Readers returns the other routers that answered last and can read the directory.
func (s *Service) Readers() []readers.Router {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []readers.Router
	for address, r := range s.routers {
		if address != s.Address && r.alive() && !r.failing {
			list = append(list, readers.Router{Address: address, Cores: r.cores})
		}
	}
	return list
}

// Informed returns when, at the latest, another router has read the directory and told it here.
func (s *Service) Informed() clock.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest clock.Instant
	for _, r := range s.routers {
		latest = max(latest, r.informed)
	}
	return latest
}

// HoldingsLearnt reports whether a router that knows the cached prompts has told them all.
func (s *Service) HoldingsLearnt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learnt
}

// Status is what the service shows of one router.
type Status struct {
	Address string `json:"address"`
	Lost    bool   `json:"lost"`
	MetMS   int64  `json:"met_ms_ago"`
	Pending int    `json:"pending_news"`
}

// Dump returns the other routers.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	var list []Status
	for address, r := range s.routers {
		list = append(list, Status{
			Address: address, Lost: r.lost, MetMS: now.Sub(r.met).Milliseconds(), Pending: len(r.holdings) + len(r.members),
		})
	}
	return list
}
