package gossip

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"rattantrack.dev/core/overlay"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// Shape of the overlay between processes.
const (
	// reshuffle is how often one neighbour is exchanged for another.
	reshuffle = 30 * time.Second
	// compareInterval is how often versions are compared with one neighbour.
	compareInterval = 2 * time.Second
	askLimit        = time.Second
	startupRetry    = 200 * time.Millisecond
)

// Dialer gives links to addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
}

// Service keeps the version in force equal to the newest that any neighbour has.
type Service struct {
	Store  *revision.Store
	Dialer Dialer
	Log    *log.Logger
	// Candidates returns the addresses of processes that may be neighbours.
	Candidates func() []string

	neighbours overlay.PeerSet
	mu         sync.Mutex
	// callers are the links over which other processes compared their versions with this one, the latest last.
	callers []*peer.Link
	wake    chan struct{}
	once    sync.Once
}

// Status is what the service shows of itself.
type Status struct {
	revision.Status
	Neighbours []string `json:"neighbours"`
}

// String returns the service's name.
func (s *Service) String() string { return "spread" }

// Dump returns the version in force and the present neighbours.
func (s *Service) Dump() any {
	return Status{Status: s.Store.Status(), Neighbours: s.neighbours.List()}
}

// Run asks neighbours for their version until there is one, and then keeps up with them.
func (s *Service) Run(ctx context.Context, ready func()) error {
	wake := s.waker()
	for {
		// Also a process that has a version asks first, since it may have got an old one.
		s.compareWithAll(ctx)
		if s.started() {
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-time.After(startupRetry):
		}
	}
	ready()
	s.keepUp(ctx, wake)
	return nil
}

func (s *Service) waker() chan struct{} {
	s.once.Do(func() { s.wake = make(chan struct{}, 1) })
	return s.wake
}

func (s *Service) started() bool {
	_, fleet := s.Store.Current()
	return fleet != nil
}

func (s *Service) keepUp(ctx context.Context, wake <-chan struct{}) {
	var telling sync.WaitGroup
	defer telling.Wait()
	compare := time.NewTicker(jitter(compareInterval))
	defer compare.Stop()
	shuffle := time.NewTicker(jitter(reshuffle))
	defer shuffle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
			// One slow neighbour must not keep the next version from the others.
			telling.Add(1)
			go func() {
				defer telling.Done()
				s.tellCallers(ctx)
				s.compareWithAll(ctx)
			}()
		case <-shuffle.C:
			s.neighbours.Rotate()
		case <-compare.C:
			s.compareWithOne(ctx, &telling)

		}
	}
}

// jitter spreads intervals so that processes started together do not act together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// compareWithOne compares versions with one neighbour, beside the loop.
func (s *Service) compareWithOne(ctx context.Context, telling *sync.WaitGroup) {
	address, ok := s.neighbours.Pick(s.Candidates())
	if !ok {
		return
	}
	telling.Add(1)
	go func() {
		defer telling.Done()
		s.compare(ctx, address)
	}()
}

func (s *Service) compareWithAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, address := range s.neighbours.Choose(s.Candidates()) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.compare(ctx, address)
		}()
	}
	wg.Wait()
}

// compare tells one neighbour the version here and catches up if its own is newer.
func (s *Service) compare(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	l, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		s.neighbours.Drop(address)
		return
	}
	theirs, err := peer.Ask[*peer.Announce](ctx, l, s.announcement(), askLimit)
	if err != nil {
		s.neighbours.Drop(address)
		return
	}
	s.catchUp(ctx, l, theirs.Version)
}

// maxCallers bounds the links over which a new version is told besides those to the neighbours.
const maxCallers = 8

// remember keeps a link whose other end wants to hear of new versions, so that no process depends on being chosen.
func (s *Service) remember(l *peer.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callers = slices.DeleteFunc(s.callers, func(have *peer.Link) bool { return have == l || have.Ended() })
	s.callers = append(s.callers, l)
	s.callers = s.callers[max(0, len(s.callers)-maxCallers):]
}

// tellCallers tells the version in force to the processes that compared theirs with it.
func (s *Service) tellCallers(ctx context.Context) {
	s.mu.Lock()
	callers := slices.Clone(s.callers)
	s.mu.Unlock()
	for _, l := range callers {
		// A link that has ended is forgotten at the next comparison.
		_ = peer.Notify(ctx, l, s.announcement())
	}
}

func (s *Service) announcement() *peer.Announce {
	v, _ := s.Store.Current()
	return &peer.Announce{Version: v}
}

// catchUp pulls what a neighbour has and this process has not.
func (s *Service) catchUp(ctx context.Context, l *peer.Link, theirs revision.Version) {
	mine, _ := s.Store.Current()
	if theirs.Revision <= mine.Revision || s.Store.Refused(theirs.Revision) {
		return
	}
	since := mine.Revision
	for range 2 {
		answer, err := peer.Ask[*peer.DeltaReply](ctx, l, &peer.Pull{Since: since}, askLimit)
		if err != nil {
			return
		}
		if s.Offer(answer.Delta) != revision.Gap {
			return
		}
		// The changes do not lead from here to there, so the whole version is needed.
		since = 0
	}
}

// Offer gives a version to the store and tells the neighbours when it was accepted.
func (s *Service) Offer(d revision.Delta) revision.Result {
	result, err := s.Store.Offer(d)
	switch result {
	case revision.Accepted:
		s.Log.Info("declarations accepted", "revision", d.To.Revision)
		select {
		case s.waker() <- struct{}{}:
		default:
		}
	case revision.Invalid:
		s.Log.Error("declarations refused", "revision", d.To.Revision, "error", err)
	case revision.Diverged:
		s.Log.Error("declarations differ within one revision", "revision", d.To.Revision)
	}
	return result
}

// Serve answers a neighbour's message; it reports false for messages of other services.
func (s *Service) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	switch v := m.(type) {
	case *peer.Announce:
		s.remember(st.Link())
		_ = st.Send(ctx, s.announcement())
		ctx, cancel := context.WithTimeout(ctx, askLimit)
		defer cancel()
		s.catchUp(ctx, st.Link(), v.Version)
	case *peer.Pull:
		_ = st.Send(ctx, &peer.DeltaReply{Delta: s.Store.Since(v.Since)})
	default:
		return false
	}
	return true
}

// SideAddresses returns the peer addresses of the declared sides.
func SideAddresses(f *settings.Declarations) []string {
	if f == nil {
		return nil
	}
	var addresses []string
	for _, u := range f.Upstreams {
		if !u.Destroyed {
			addresses = append(addresses, u.Side)
		}
	}
	return addresses
}
