package loads

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/relay"
	"rattantrack.dev/core/settings"
)

// Times of an exchange.
const (
	// interval is the time between two exchanges with one partner. Counts pass up to three exchanges, so on average they are
	// 1.5 intervals old.
	interval = 80 * time.Millisecond
	// requestTimeout bounds an exchange within a region.
	requestTimeout = 300 * time.Millisecond
	// avoidTime is how long a router that did not reply is not elected. The exchange of states finds out meanwhile whether it
	// is lost.
	avoidTime = time.Second
)

// Dialer provides links to addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
}

// Routers reports the other routers.
type Routers interface {
	// Relays returns the routers that can relay counts, and whether the exchange of states is slower than an interval.
	Relays(interval time.Duration) (list []relay.Router, slow bool)
}

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// partner is the state of the exchange with one router.
type partner struct {
	exchanging bool
	avoidUntil clock.Instant
	// digest is that of the router's list of upstreams, as of its last message.
	digest uint64
}

// Service exchanges counts with the relay of the data centre or, as a relay, with those of the others.
type Service struct {
	ID       inflight.RouterID
	Self     relay.Router
	Routers  Routers
	Dialer   Dialer
	InFlight *inflight.Tracker
	Members  *members.Registry
	// DirectoryState returns how long ago this router read the directory, and whether it cannot read it.
	DirectoryState func() (age time.Duration, failing bool)
	Clock          Clock
	Log            *log.Logger
	Scope          tally.Scope

	mu       sync.Mutex
	partners map[string]*partner
	ids      inflight.IDs
	relays   bool
	// directoryReads holds, by data centre, when another router last read the directory. Like the counts, reads are passed on from
	// a router to its relay, from there to the other relays, and from these to their routers, so that none comes back younger.
	directoryReads map[settings.DataCentre]clock.Instant
	wg             sync.WaitGroup
}

// String returns the service's name.
func (s *Service) String() string { return "loads" }

// Run exchanges counts until ctx ends.
func (s *Service) Run(ctx context.Context, ready func()) error {
	ready()
	t := time.NewTicker(interval)
	defer t.Stop()
	defer s.wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			s.startExchanges(ctx)
		}
	}
}

// startExchanges begins an exchange with each partner that has none open.
func (s *Service) startExchanges(ctx context.Context) {
	list, slow := s.Routers.Relays(interval)
	if !slow {
		return
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	usable := list[:0]
	for _, r := range list {
		if p := s.partners[r.Address]; p == nil || now >= p.avoidUntil {
			usable = append(usable, r)
		}
	}
	addresses, relays := relay.Partners(s.Self, usable)
	if relays != s.relays {
		s.relays = relays
		s.Log.Info("relay of counts", "relays", relays, "partners", len(addresses), "routers", len(usable)+1)
	}
	for _, address := range addresses {
		p := s.partner(address)
		if p.exchanging {
			continue
		}
		p.exchanging = true
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.exchange(ctx, address, p, relays)
		}()
	}
}

// partner returns the state of the exchange with a router; s.mu is held.
func (s *Service) partner(address string) *partner {
	if s.partners == nil {
		s.partners = make(map[string]*partner)
	}
	p := s.partners[address]
	if p == nil {
		p = &partner{}
		s.partners[address] = p
	}
	return p
}

// currentIDs returns the list of upstreams that this router knows; s.mu is held.
func (s *Service) currentIDs() inflight.IDs {
	list := s.Members.IDs()
	if len(list) != len(s.ids.List) || (len(list) > 0 && &list[0] != &s.ids.List[0]) {
		s.ids = inflight.NewIDs(list)
	}
	return s.ids
}

// exchange sends the counts to a partner and records its reply.
func (s *Service) exchange(ctx context.Context, address string, p *partner, relays bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	now := s.Clock.Now()
	counts := s.InFlight.Local()
	if relays {
		counts = s.InFlight.SumOf(now, s.Self.DataCentre)
	}
	s.mu.Lock()
	ids := s.currentIDs()
	report := &peer.LoadReport{
		Router: s.ID, DataCentre: s.Self.DataCentre, Sum: relays, Open: inflight.Pack(ids, counts, p.digest != ids.Digest),
	}
	s.mu.Unlock()
	report.DirectoryAge, _ = s.DirectoryState()
	if relays {
		report.DirectoryAge = min(report.DirectoryAge, s.directoryAge(now, s.Self.DataCentre))
	}
	totals, err := s.request(ctx, address, report)
	s.mu.Lock()
	p.exchanging = false
	if err != nil {
		p.avoidUntil = s.Clock.Now().Add(avoidTime)
		s.mu.Unlock()
		s.Scope.Counter("load_exchange_failures").Inc(1)
		s.Log.Debug("cannot exchange counts", "router", address, "error", err)
		return
	}
	p.digest = totals.Open.Digest
	s.mu.Unlock()
	// The counts are as old as the exchange, since the partner may have replied at once and the reply waited here.
	s.record(now, totals, relays)
}

func (s *Service) request(ctx context.Context, address string, report *peer.LoadReport) (*peer.LoadTotals, error) {
	link, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return peer.Request[*peer.LoadTotals](ctx, link, report, requestTimeout)
}

// recordRead records when a router of a data centre read the directory.
func (s *Service) recordRead(name settings.DataCentre, at clock.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directoryReads == nil {
		s.directoryReads = make(map[settings.DataCentre]clock.Instant)
	}
	s.directoryReads[name] = max(s.directoryReads[name], at)
}

// LastDirectoryRead returns when another router last read the directory, 0 if none is known to have.
func (s *Service) LastDirectoryRead() clock.Instant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var latest clock.Instant
	for _, at := range s.directoryReads {
		latest = max(latest, at)
	}
	return latest
}

// directoryAge returns the time since another router of a data centre read the directory.
func (s *Service) directoryAge(now clock.Instant, name settings.DataCentre) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.directoryReads[name])
}

// record stores the sums of a reply.
func (s *Service) record(at clock.Instant, totals *peer.LoadTotals, relays bool) {
	s.recordRead(totals.DataCentre, at.Add(-totals.DirectoryAge))
	counts, ok := s.unpack(totals.Open)
	if !ok {
		return
	}
	if relays {
		s.InFlight.ReportSum(at, totals.DataCentre, counts)
		return
	}
	s.InFlight.ReportTotals(at, counts)
}

// unpack decodes counts. It fails while the lists of upstreams differ; the next message then has the names.
func (s *Service) unpack(p inflight.Packed) (inflight.Counts, bool) {
	s.mu.Lock()
	ids := s.currentIDs()
	s.mu.Unlock()
	counts, err := p.Unpack(ids)
	if err != nil {
		s.Scope.Counter("load_exchange_undecoded").Inc(1)
		s.Log.Debug("cannot decode counts", "error", err)
		return nil, false
	}
	return counts, true
}

// Serve records the counts of another router and replies with sums; it returns false for messages of other services.
func (s *Service) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	report, ok := m.(*peer.LoadReport)
	if !ok {
		return false
	}
	now := s.Clock.Now()
	s.recordRead(report.DataCentre, now.Add(-report.DirectoryAge))
	if counts, ok := s.unpack(report.Open); ok {
		if report.Sum {
			s.InFlight.ReportSum(now, report.DataCentre, counts)
		} else {
			s.InFlight.Report(now, report.Router, report.DataCentre, counts)
		}
	}
	var counts inflight.Counts
	if report.Sum {
		counts = s.InFlight.SumOf(now, s.Self.DataCentre)
	} else {
		counts = s.InFlight.TotalsFor(now, report.Router, s.Self.DataCentre)
	}
	age, _ := s.DirectoryState()
	if report.Sum {
		age = min(age, s.directoryAge(now, s.Self.DataCentre))
	} else {
		age = min(age, now.Sub(s.LastDirectoryRead()))
	}
	s.mu.Lock()
	ids := s.currentIDs()
	s.mu.Unlock()
	totals := &peer.LoadTotals{
		DataCentre: s.Self.DataCentre, Open: inflight.Pack(ids, counts, report.Open.Digest != ids.Digest), DirectoryAge: age,
	}
	if err := st.Send(ctx, totals); err != nil {
		s.Log.Debug("cannot send counts to a router", "router", report.Router, "error", err)
	}
	return true
}
