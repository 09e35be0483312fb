package crashes

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/quarantine"
)

// Times of the exchange.
const (
	// minInterval is the time between two checks for routers without the newest evidence, intervalPerRouter lengthens it in a large
	// fleet. A crash is sent sooner, after batchTime.
	minInterval       = 250 * time.Millisecond
	intervalPerRouter = 10 * time.Millisecond
	batchTime         = 20 * time.Millisecond
	// requestTimeout bounds an exchange, retryPause separates a failed one from the next.
	requestTimeout = 500 * time.Millisecond
	retryPause     = 500 * time.Millisecond
	// sources is how many routers a router that has started requests all evidence from. One of them may have started as well.
	sources = 3
)

// Router is another router that takes part in the exchange.
type Router struct {
	Address     string
	Incarnation peer.Incarnation
}

// Routers reports the other routers that can be reached.
type Routers interface {
	CrashRouters() []Router
}

// Dialer provides links to addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
}

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// partner is the state of the exchange with one router.
type partner struct {
	incarnation peer.Incarnation
	// sent is the last change of the evidence that the router has.
	sent       quarantine.Change
	exchanging bool
	retryAt    clock.Instant
	// asked reports that the router has sent all evidence that it had.
	asked bool
}

// Service sends the evidence of this router to all others, each of which gets it from its origin. A router that has started
// requests what the others have, which includes the evidence of routers that have ended.
type Service struct {
	ID         inflight.RouterID
	Routers    Routers
	Dialer     Dialer
	Quarantine *quarantine.Tracker
	Clock      Clock
	Log        *log.Logger
	Scope      tally.Scope

	mu       sync.Mutex
	partners map[string]*partner
	// requested is the number of routers that have sent all evidence, requesting that of open requests for it.
	requested, requesting int
	wg                    sync.WaitGroup
}

// String returns the service's name.
func (s *Service) String() string { return "crashes" }

// Run sends evidence until ctx ends.
func (s *Service) Run(ctx context.Context, ready func()) error {
	ready()
	defer s.wg.Wait()
	wake := s.Quarantine.Wake()
	for {
		n := s.startExchanges(ctx)
		timer := time.NewTimer(max(minInterval, time.Duration(n)*intervalPerRouter))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-wake:
			timer.Stop()
			if !clock.Sleep(ctx, batchTime) {
				return nil
			}
		case <-timer.C:
		}
	}
}

// startExchanges begins an exchange with each router that lacks evidence, and returns the number of routers.
func (s *Service) startExchanges(ctx context.Context) int {
	routers := s.Routers.CrashRouters()
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	partners := make(map[string]*partner, len(routers))
	for _, r := range routers {
		p := s.partners[r.Address]
		if p == nil || p.incarnation != r.Incarnation {
			p = &partner{incarnation: r.Incarnation}
		}
		partners[r.Address] = p
		if p.exchanging || now < p.retryAt {
			continue
		}
		evidence, last := s.Quarantine.Since(now, p.sent)
		message := &peer.CrashEvidence{Router: s.ID, Evidence: evidence, WantsAll: s.requested+s.requesting < sources && !p.asked}
		if evidence.Empty() && !message.WantsAll {
			p.sent = last
			continue
		}
		p.exchanging = true
		if message.WantsAll {
			s.requesting++
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.exchange(ctx, r.Address, p, message, last)
		}()
	}
	s.partners = partners
	return len(routers)
}

// exchange sends evidence to a router and merges its reply.
func (s *Service) exchange(ctx context.Context, address string, p *partner, message *peer.CrashEvidence, last quarantine.Change) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, err := s.request(ctx, address, message)
	now := s.Clock.Now()
	s.mu.Lock()
	p.exchanging = false
	if message.WantsAll {
		s.requesting--
	}
	if err != nil {
		p.retryAt = now.Add(retryPause)
		s.mu.Unlock()
		s.Scope.Counter("crash_exchange_failures").Inc(1)
		s.Log.Debug("cannot send crashes to a router", "router", address, "error", err)
		return
	}
	p.sent = last
	if message.WantsAll {
		p.asked = true
		s.requested++
	}
	s.mu.Unlock()
	s.Quarantine.Merge(now, reply.Router, reply.Evidence)
}

func (s *Service) request(ctx context.Context, address string, message *peer.CrashEvidence) (*peer.CrashEvidence, error) {
	link, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	message.Evidence = understood(link, message.Evidence)
	return peer.Request[*peer.CrashEvidence](ctx, link, message, requestTimeout)
}

// understood returns the part of the evidence that the other end of a link can decode.
func understood(link *peer.Link, e quarantine.Evidence) quarantine.Evidence {
	if link.Version() < peer.RequestDigestVersion {
		return e.WithoutDigests()
	}
	return e
}

// Serve merges the evidence of another router and replies; it returns false for messages of other services.
func (s *Service) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	message, ok := m.(*peer.CrashEvidence)
	if !ok {
		return false
	}
	now := s.Clock.Now()
	s.Quarantine.Merge(now, message.Router, message.Evidence)
	reply := &peer.CrashEvidence{Router: s.ID}
	if message.WantsAll {
		reply.Evidence = understood(st.Link(), s.Quarantine.All(now))
	}
	if err := st.Send(ctx, reply); err != nil {
		s.Log.Debug("cannot reply to a router's crashes", "router", message.Router, "error", err)
	}
	return true
}
