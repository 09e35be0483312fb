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

// Timing of the peer set and of the exchange of versions.
const (
	// rotateInterval is how often one peer is replaced by another.
	rotateInterval = 30 * time.Second
	// compareInterval is how often versions are compared with one peer.
	compareInterval = 2 * time.Second
	// requestTimeout bounds the exchange with one peer.
	requestTimeout = time.Second
	// startupRetryInterval is the pause between comparisons until a version is in force.
	startupRetryInterval = 200 * time.Millisecond
)

// Dialer provides links to addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
}

// Service pulls newer versions of the declarations from the peers and announces each accepted version to them.
type Service struct {
	Store  *revision.Store
	Dialer Dialer
	Log    *log.Logger
	// Candidates returns the addresses of the processes that may become peers.
	Candidates func() []string
	// OnBehind is called when a peer has a newer version that could not be pulled from it; it may be nil.
	OnBehind func(ctx context.Context, theirs settings.Revision)

	peers overlay.PeerSet
	mu    sync.Mutex
	// inbound are the links over which other processes compared their versions with this one, the latest last.
	inbound []*peer.Link
	wake    chan struct{}
	once    sync.Once
	// pending are the comparisons under way.
	pending sync.WaitGroup
}

// Status is the state of the service in a dump.
type Status struct {
	revision.Status
	Peers []string `json:"neighbours"`
}

// String returns the service's name.
func (s *Service) String() string { return "spread" }

// Dump returns the version in force and the current peers.
func (s *Service) Dump() any {
	return Status{Status: s.Store.Status(), Peers: s.peers.List()}
}

// Run compares versions with the peers until one is in force, calls ready, and then keeps up with the peers until ctx
// ends.
func (s *Service) Run(ctx context.Context, ready func()) error {
	wake := s.wakeChannel()
	defer s.pending.Wait()
	for {
		// A process that already has a version compares it first as well, since it may be old.
		s.compareWithPeers(ctx)
		if s.hasVersion() {
			break
		}
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
		case <-time.After(startupRetryInterval):
		}
	}
	ready()
	s.keepUpToDate(ctx, wake)
	return nil
}

func (s *Service) wakeChannel() chan struct{} {
	s.once.Do(func() { s.wake = make(chan struct{}, 1) })
	return s.wake
}

func (s *Service) hasVersion() bool {
	_, declarations := s.Store.Current()
	return declarations != nil
}

func (s *Service) keepUpToDate(ctx context.Context, wake <-chan struct{}) {
	compare := time.NewTicker(jitter(compareInterval))
	defer compare.Stop()
	rotate := time.NewTicker(jitter(rotateInterval))
	defer rotate.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
			// This runs beside the loop so that one slow peer does not delay the next version for the others.
			s.pending.Add(1)
			go func() {
				defer s.pending.Done()
				s.notifyInbound(ctx)
				s.announce(ctx)
			}()
		case <-rotate.C:
			s.peers.Rotate()
		case <-compare.C:
			s.compareWithOne(ctx)
		}
	}
}

// jitter randomizes an interval so that processes started together do not act at the same time.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// compare sends the version in force to one peer and pulls the peer's version if that is newer. It calls answered once it is known whether
// the peer has answered, before it pulls.
func (s *Service) compare(ctx context.Context, address string, answered func(ok bool)) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	link, err := s.Dialer.Dial(ctx, address)
	var theirs *peer.Announce
	if err == nil {
		theirs, err = peer.Request[*peer.Announce](ctx, link, s.announcement(), requestTimeout)
	}
	answered(err == nil)
	if err != nil {
		s.peers.Drop(address)
		return
	}
	s.catchUp(ctx, link, theirs.Version)
}

// maxInbound bounds the inbound links over which a new version is announced, in addition to the links to the peer set.
const maxInbound = 8

// addInbound keeps a link whose other end wants new versions, so that no process depends on being chosen as a peer.
func (s *Service) addInbound(link *peer.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inbound = slices.DeleteFunc(s.inbound, func(have *peer.Link) bool { return have == link || have.Ended() })
	s.inbound = append(s.inbound, link)
	s.inbound = s.inbound[max(0, len(s.inbound)-maxInbound):]
}

// notifyInbound announces the version in force to the processes that compared theirs with it.
func (s *Service) notifyInbound(ctx context.Context) {
	s.mu.Lock()
	inbound := slices.Clone(s.inbound)
	s.mu.Unlock()
	for _, link := range inbound {
		// An ended link is removed at the next comparison.
		_ = peer.Notify(ctx, link, s.announcement())
	}
}

func (s *Service) announcement() *peer.Announce {
	v, _ := s.Store.Current()
	return &peer.Announce{Version: v}
}

// catchUp pulls the changes that a peer has and this process lacks.
func (s *Service) catchUp(ctx context.Context, link *peer.Link, theirs revision.Version) {
	local, _ := s.Store.Current()
	if theirs.Revision <= local.Revision || s.Store.Refused(theirs.Revision) {
		return
	}
	if !s.pull(ctx, link, local.Revision) && s.OnBehind != nil {
		s.OnBehind(ctx, theirs.Revision)
	}
}

// pull pulls the changes since a revision and reports whether they were taken.
func (s *Service) pull(ctx context.Context, link *peer.Link, since settings.Revision) bool {
	for range 2 {
		reply, err := peer.Request[*peer.DeltaReply](ctx, link, &peer.Pull{Since: since}, requestTimeout)
		if err != nil {
			return false
		}
		if s.Offer(reply.Delta) != revision.Gap {
			return true
		}
		// The changes do not start at the version in force here, so the complete version is needed.
		since = 0
	}
	return false
}

// Offer passes a version to the store and announces it to the peers if it was accepted.
func (s *Service) Offer(delta revision.Delta) revision.Result {
	result, err := s.Store.Offer(delta)
	switch result {
	case revision.Accepted:
		s.Log.Info("declarations accepted", "revision", delta.To.Revision)
		select {
		case s.wakeChannel() <- struct{}{}:
		default:
		}
	case revision.Invalid:
		s.Log.Error("declarations refused", "revision", delta.To.Revision, "error", err)
	case revision.Diverged:
		s.Log.Error("declarations differ within one revision", "revision", delta.To.Revision)
	}
	return result
}

// Serve responds to a peer's message and reports whether the message belongs to this service.
func (s *Service) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	switch v := m.(type) {
	case *peer.Announce:
		s.addInbound(st.Link())
		_ = st.Send(ctx, s.announcement())
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		s.catchUp(ctx, st.Link(), v.Version)
	case *peer.Pull:
		_ = st.Send(ctx, &peer.DeltaReply{Delta: s.Store.Since(v.Since)})
	default:
		return false
	}
	return true
}

// SideAddresses returns the peer addresses of the declared sides that are not destroyed.
func SideAddresses(declarations *settings.Declarations) []string {
	if declarations == nil {
		return nil
	}
	var addresses []string
	for _, u := range declarations.Upstreams {
		if !u.Destroyed {
			addresses = append(addresses, u.Side)
		}
	}
	return addresses
}
