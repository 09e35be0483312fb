package origins

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
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
	// InTouch reports that no known router has been out of reach since the newest news from the directory.
	InTouch() bool
	// LastLoss returns when another router was last lost.
	LastLoss() clock.Instant
}

// Dialer provides links to addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
}

// Caches holds what engines have listed of their caches.
type Caches interface {
	// Listed returns which upstreams have listed a block, false if some may be missing.
	Listed(now clock.Instant, block call.PromptBlockID) ([]affinity.Listed, bool)
	// ReadAge returns how long ago the cache of a process was read, false if its list no longer tells what the cache lacks.
	ReadAge(now clock.Instant, id settings.UpstreamID, incarnation members.Incarnation) (time.Duration, bool)
	// FailedReadAge returns how long ago this router failed to read the cache of a process, false if not lately.
	FailedReadAge(now clock.Instant, id settings.UpstreamID, incarnation members.Incarnation) (time.Duration, bool)
}

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// Service holds origins of streams. A router that begins a stream sends the record to few others, chosen by the stream, which one that
// does not know the stream asks. Nothing is sent while all can conclude that one version alone has served (origin.Sharing).
type Service struct {
	ID      inflight.RouterID
	Address string
	// FirstStart reports that the whole fleet starts for the first time.
	FirstStart bool
	Routers    Routers
	Dialer     Dialer
	Caches     Caches
	// Demand asks for lists of the caches of a service's engines that are read after a time; it does not wait for them.
	Demand func(name settings.ServiceName, after clock.Instant)
	// DirectoryAge returns the age of the newest directory read that this router knows of.
	DirectoryAge func() time.Duration
	// Refresh returns once a read of the directory has been applied that began after the call.
	Refresh func(ctx context.Context) error
	Clock   Clock
	Log     *log.Logger
	Scope   tally.Scope

	history origin.History
	// gapSince is when the present gap in the history began, 0 outside one. Only the review uses it.
	gapSince clock.Instant
	// began holds the streams that began or went on here, held those of other routers.
	began, held origin.Records

	mu sync.Mutex
	// startedAt is when this router started in a fleet that ran before, 0 if the fleet starts for the first time.
	startedAt clock.Instant
	holders   *origin.Holders
	partners  map[string]*partner
	sharing   origin.Sharing
	// inherited reports that another router with a complete history has replied. inheritAt is when the next ones are asked.
	inherited bool
	inheritAt clock.Instant
	wake      chan struct{}
	// demandedAt is when the caches of a service's engines were last demanded.
	demandedAt map[settings.ServiceName]clock.Instant
	wg         sync.WaitGroup
}

// String returns the service's name.
func (s *Service) String() string { return "origins" }

// Run sends records until ctx ends.
func (s *Service) Run(ctx context.Context, ready func()) error {
	now := s.Clock.Now()
	s.history.Start(now, s.FirstStart)
	if !s.FirstStart {
		s.mu.Lock()
		s.startedAt = now
		s.mu.Unlock()
	}
	s.Log.Info("history of versions begins", "complete", s.FirstStart)
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
	mixed := s.history.Mixed(now, o.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holders == nil || !mixed && !s.sharing.Of(o.Service) {
		return
	}
	for _, address := range s.holders.Of(id, s.Address) {
		if p := s.partners[address]; p != nil {
			s.enqueue(p, entry{stream: id, origin: o})
		}
	}
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
	Began           int  `json:"began"`
	Held            int  `json:"held"`
	HistoryComplete bool `json:"history_complete"`
	// SharesAll reports that the origins of all streams are shared, Mixed has the services of which they are shared anyway.
	SharesAll bool                   `json:"shares_all"`
	Mixed     []settings.ServiceName `json:"mixed_services"`
	Pending   int                    `json:"pending"`
}

// Dump returns the numbers of records and which of them are shared.
func (s *Service) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := status{
		Began: s.began.Len(), Held: s.held.Len(), HistoryComplete: s.history.Complete(s.Clock.Now()),
		SharesAll: s.sharing.Uncertain, Mixed: slices.Sorted(maps.Keys(s.sharing.Mixed)),
	}
	for _, p := range s.partners {
		out.Pending += len(p.pending)
	}
	return out
}
