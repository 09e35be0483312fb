package origins

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/origin"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// Times and sizes of the exchange.
const (
	// flushInterval is how long records wait for others to the same router. A client can return after that.
	flushInterval = 20 * time.Millisecond
	// reviewInterval is the time between two checks for routers that have come or gone.
	reviewInterval = 50 * time.Millisecond
	sendTimeout    = 500 * time.Millisecond
	retryPause     = 500 * time.Millisecond
	// inheritPause is the pause before a router that has started asks again for the versions that served before.
	inheritPause = 200 * time.Millisecond
	// maxPending bounds the records that wait for one router; the oldest make room.
	maxPending = 4096
)

// Router is another router that holds records.
type Router struct {
	Address     string
	Incarnation peer.Incarnation
}

// Routers reports the other routers that can be reached.
type Routers interface {
	OriginRouters() []Router
}

// Dialer provides links to addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
}

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// entry is a record that waits to be sent.
type entry struct {
	stream origin.StreamID
	origin origin.Origin
}

// partner is another router with the records that wait for it.
type partner struct {
	incarnation peer.Incarnation
	pending     []entry
	sending     bool
	retryAt     clock.Instant
}

// Service holds origins of streams. A router that begins a stream at a service with several versions sends the record to few others,
// chosen by the stream, which one that does not know the stream asks. With one version nothing is sent.
type Service struct {
	ID      inflight.RouterID
	Address string
	// FirstStart reports that the whole fleet starts for the first time.
	FirstStart bool
	Routers    Routers
	Dialer     Dialer
	// DirectoryAge returns the age of the newest directory read that this router knows of.
	DirectoryAge func() time.Duration
	// KnownRouters returns the number of routers that may be running, with this one.
	KnownRouters func() int
	Clock        Clock
	Log          *log.Logger
	Scope        tally.Scope

	history origin.History
	// began holds the streams that began or went on here, held those of other routers.
	began, held origin.Records

	mu       sync.Mutex
	holders  *origin.Holders
	partners map[string]*partner
	mixed    map[settings.ServiceName]bool
	// inherited reports that another router with a complete history has replied. inheritAt is when the next ones are asked.
	inherited bool
	inheritAt clock.Instant
	wake      chan struct{}
	wg        sync.WaitGroup
}

// String returns the service's name.
func (s *Service) String() string { return "origins" }

// Run sends records until ctx ends.
func (s *Service) Run(ctx context.Context, ready func()) error {
	s.history.Start(s.Clock.Now(), s.FirstStart)
	ready()
	defer s.wg.Wait()
	review := time.NewTicker(reviewInterval)
	defer review.Stop()
	s.review(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-review.C:
			s.review(ctx)
		case <-s.wakeChannel():
			if !clock.Sleep(ctx, flushInterval) {
				return nil
			}
		}
		s.flush(ctx)
	}
}

func (s *Service) wakeChannel() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	return s.wake
}

// Apply records changes of instances.
func (s *Service) Apply(events []members.Event) { s.history.Apply(s.Clock.Now(), events) }

// Begin records the origin of a stream that begins or goes on here. attempt is the client's attempt that brought its first event.
func (s *Service) Begin(attempt call.ID, o origin.Origin) {
	now := s.Clock.Now()
	id := origin.NewStreamID(attempt)
	s.began.Add(now, id, o)
	if !s.history.Mixed(now, o.Service) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders == nil {
		return
	}
	for _, address := range s.holders.Of(id, s.Address) {
		if p := s.partners[address]; p != nil {
			s.enqueue(p, entry{stream: id, origin: o})
		}
	}
}

// enqueue adds a record for a partner. s.mu is held.
func (s *Service) enqueue(p *partner, e entry) {
	if len(p.pending) >= maxPending {
		p.pending = slices.Delete(p.pending, 0, 1)
		s.Scope.Counter("stream_origins_dropped").Inc(1)
	}
	p.pending = append(p.pending, e)
	if s.wake == nil {
		s.wake = make(chan struct{}, 1)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// review takes note of routers that have come or gone, and of services that have got a second version, and sends the records that
// other routers now hold. A router that has started asks others for their history.
func (s *Service) review(ctx context.Context) {
	now := s.Clock.Now()
	s.began.Expire(now)
	s.held.Expire(now)
	mixed := make(map[settings.ServiceName]bool)
	for _, v := range s.history.Seen(now, "") {
		_, several := mixed[v.Service]
		mixed[v.Service] = several
	}
	maps.DeleteFunc(mixed, func(_ settings.ServiceName, several bool) bool { return !several })
	routers := s.Routers.OriginRouters()
	s.mu.Lock()
	before, mixedBefore := s.holders, s.mixed
	fresh := make(map[string]bool)
	partners := make(map[string]*partner, len(routers))
	for _, r := range routers {
		p := s.partners[r.Address]
		if p == nil || p.incarnation != r.Incarnation {
			p = &partner{incarnation: r.Incarnation}
			fresh[r.Address] = true
		}
		partners[r.Address] = p
	}
	changed := len(fresh) > 0 || len(partners) != len(s.partners)
	s.partners, s.mixed = partners, mixed
	if changed || s.holders == nil {
		s.holders = origin.NewHolders(append(slices.Collect(maps.Keys(partners)), s.Address))
	}
	after := s.holders
	inherits := !s.inherited && !s.history.Complete(now) && len(partners) > 0 && now >= s.inheritAt
	if inherits {
		s.inheritAt = now.Add(inheritPause)
	}
	s.mu.Unlock()

	var moved []entry
	s.began.Each(now, func(id origin.StreamID, o origin.Origin) {
		if mixed[o.Service] && (changed || !mixedBefore[o.Service]) {
			moved = append(moved, entry{stream: id, origin: o})
		}
	})
	for _, e := range moved {
		var had []string
		if before != nil && mixedBefore[e.origin.Service] {
			had = before.Of(e.stream, s.Address)
		}
		for _, address := range after.Of(e.stream, s.Address) {
			if p := partners[address]; p != nil && (fresh[address] || !slices.Contains(had, address)) {
				s.mu.Lock()
				s.enqueue(p, e)
				s.mu.Unlock()
			}
		}
	}
	if inherits {
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.inherit(ctx, slices.Collect(maps.Keys(partners)))
		}()
	}
}

// inherit asks other routers for their history.
func (s *Service) inherit(ctx context.Context, addresses []string) {
	for r := range s.ask(ctx, addresses[:min(len(addresses), maxSources)], &peer.OriginQuery{}) {
		s.history.Merge(s.Clock.Now(), r.Seen, r.Complete)
		if r.Complete {
			s.mu.Lock()
			isFirst := !s.inherited
			s.inherited = true
			s.mu.Unlock()
			if isFirst {
				s.Log.Info("versions learnt from a router", "router", r.Router, "versions", len(r.Seen))
			}
		}
	}
}

// flush starts to send the records that wait.
func (s *Service) flush(ctx context.Context) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.partners {
		if len(p.pending) == 0 || p.sending || now < p.retryAt {
			continue
		}
		entries := p.pending
		p.pending, p.sending = nil, true
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.send(ctx, address, p, entries)
		}()
	}
}

// send sends records to a router; those that it cannot send wait again.
func (s *Service) send(ctx context.Context, address string, p *partner, entries []entry) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	link, err := s.Dialer.Dial(ctx, address)
	if err == nil {
		err = peer.Notify(ctx, link, &peer.StreamOrigins{Batches: batches(entries)})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p.sending = false
	if err == nil {
		s.Scope.Counter("stream_origins_sent").Inc(int64(len(entries)))
		return
	}
	s.Scope.Counter("stream_origins_send_failures").Inc(1)
	s.Log.Debug("cannot send the origins of streams", "router", address, "streams", len(entries), "error", err)
	p.retryAt = s.Clock.Now().Add(retryPause)
	for _, e := range entries {
		s.enqueue(p, e)
	}
}

// batches groups records by origin.
func batches(entries []entry) []peer.OriginBatch {
	var list []peer.OriginBatch
	for _, e := range entries {
		i := slices.IndexFunc(list, func(b peer.OriginBatch) bool { return b.Origin == e.origin })
		if i < 0 {
			i = len(list)
			list = append(list, peer.OriginBatch{Origin: e.origin})
		}
		list[i].Streams = append(list[i].Streams, e.stream)
	}
	return list
}

// Serve records what another router sends and replies to its queries; it returns false for messages of other services.
func (s *Service) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	now := s.Clock.Now()
	switch v := m.(type) {
	case *peer.StreamOrigins:
		for _, b := range v.Batches {
			for _, id := range b.Streams {
				s.held.Add(now, id, b.Origin)
			}
		}
	case *peer.OriginQuery:
		reply := &peer.OriginReply{Router: s.ID, Seen: s.history.Seen(now, v.Service), Complete: s.history.Complete(now)}
		if v.Stream != 0 {
			reply.Origin, reply.Found = s.remembered(now, v.Stream)
		}
		if err := st.Send(ctx, reply); err != nil {
			s.Log.Debug("cannot reply to a router's query", "router", st.Link().Remote().ID, "error", err)
		}
	default:
		return false
	}
	return true
}

// remembered returns the origin of a stream that this router remembers.
func (s *Service) remembered(now clock.Instant, id origin.StreamID) (origin.Origin, bool) {
	if o, ok := s.began.Find(now, id); ok {
		return o, true
	}
	return s.held.Find(now, id)
}

// status is the state of the service in a dump.
type status struct {
	Began           int                    `json:"began"`
	Held            int                    `json:"held"`
	HistoryComplete bool                   `json:"history_complete"`
	Mixed           []settings.ServiceName `json:"mixed_services"`
	Pending         int                    `json:"pending"`
}

// Dump returns the numbers of records and the services with several versions.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := status{
		Began: s.began.Len(), Held: s.held.Len(), HistoryComplete: s.history.Complete(s.Clock.Now()),
		Mixed: slices.Sorted(maps.Keys(s.mixed)),
	}
	for _, p := range s.partners {
		out.Pending += len(p.pending)
	}
	return out
}
