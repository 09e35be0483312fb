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
	"rattantrack.dev/core/ratelimit"
	"rattantrack.dev/core/relay"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/work"
)

// Times of an exchange.
const (
	// interval is the time between two exchanges with one partner. Counts pass up to three exchanges, so on average they are
	// 1.5 intervals old.
	interval = 80 * time.Millisecond
	// idleInterval is the time between two exchanges in a small fleet while no upstream is known to have a rate limit.
	idleInterval = 400 * time.Millisecond
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
	// digest is that of the router's list of upstreams, limits that of the rate limits that it knows, as of its last message.
	digest, limits uint64
	// work is the digest of the router's list of upstreams as of its last message with work.
	work uint64
}

// Service exchanges counts with the relay of the data centre or, as a relay, with those of the others.
type Service struct {
	ID       inflight.RouterID
	Self     relay.Router
	Routers  Routers
	Dialer   Dialer
	InFlight *inflight.Tracker
	Members  *members.Registry
	// RateLimits holds the rate limits of the upstreams and the requests sent to these.
	RateLimits *ratelimit.Tracker
	// Work holds what the upstreams still have to do and how fast they work.
	Work *work.Tracker
	// DirectoryState returns how long ago this router read the directory, and whether it cannot read it.
	DirectoryState func() (age time.Duration, failing bool)
	Clock          Clock
	Log            *log.Logger
	Scope          tally.Scope

	mu       sync.Mutex
	partners map[string]*partner
	ids      inflight.IDs
	relays   bool
	// lastIdle is when exchanges were last begun without need.
	lastIdle clock.Instant
	// directoryReads holds, by data centre, when another router last read the directory. Like the counts, reads are passed on from
	// a router to its relay, from there to the other relays, and from these to their routers, so that none comes back younger.
	directoryReads map[settings.DataCentre]clock.Instant
	// speedsReported is when the upstreams' speeds were last logged.
	speedsReported clock.Instant
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
			s.reportSpeeds()
		}
	}
}

// startExchanges begins an exchange with each partner that has none open.
func (s *Service) startExchanges(ctx context.Context) {
	list, slow := s.Routers.Relays(interval)
	now := s.Clock.Now()
	needed := slow || s.RateLimits.Active(now) || s.Work.Active(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !needed {
		if now.Sub(s.lastIdle) < idleInterval {
			return
		}
		s.lastIdle = now
	}
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
			s.exchange(ctx, address, p, relays, slow)
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

// exchange sends the counts to a partner and records its reply. withLoads is set in a fleet whose routers need the relays for their
// counts of open requests.
func (s *Service) exchange(ctx context.Context, address string, p *partner, relays, withLoads bool) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	now := s.Clock.Now()
	totals, err := s.request(ctx, now, address, p, relays, withLoads)
	s.mu.Lock()
	p.exchanging = false
	if err != nil {
		p.avoidUntil = s.Clock.Now().Add(avoidTime)
		s.mu.Unlock()
		s.Scope.Counter("load_exchange_failures").Inc(1)
		s.Log.Debug("cannot exchange counts", "router", address, "error", err)
		return
	}
	if withLoads {
		p.digest = totals.Usage.Loads.Open.Digest
	}
	p.limits = totals.Usage.Usage.LimitsDigest
	p.work = totals.Work.Prompt.Digest
	s.mu.Unlock()
	// The counts are as old as the exchange, since the partner may have replied at once and the reply waited here.
	s.record(now, totals, relays)
}

// request sends the counts of this router or, from a relay, the sums of its data centre.
func (s *Service) request(
	ctx context.Context, now clock.Instant, address string, p *partner, relays, withLoads bool,
) (*peer.WorkTotals, error) {
	link, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	report := s.report(now, p, relays, withLoads)
	if link.Version() < peer.UsageReportVersion {
		return s.requestLoads(ctx, link, report, withLoads)
	}
	s.mu.Lock()
	limits, digest := p.limits, p.work
	s.mu.Unlock()
	counts := func(t *inflight.Tracker) inflight.Counts {
		if relays {
			return t.SumOf(now, s.Self.DataCentre)
		}
		return t.Local()
	}
	usage := peer.UsageReport{Loads: *report, Usage: s.usage(now, limits, counts)}
	if link.Version() >= peer.WorkReportVersion && s.Work.Active(now) {
		message := &peer.WorkReport{Usage: usage, Work: s.packWork(now, digest, counts)}
		return peer.Request[*peer.WorkTotals](ctx, link, message, requestTimeout)
	}
	totals, err := peer.Request[*peer.UsageTotals](ctx, link, &usage, requestTimeout)
	if err != nil {
		return nil, err
	}
	return &peer.WorkTotals{Usage: *totals}, nil
}

// requestLoads sends the counts of open requests to a router whose version knows nothing else.
func (s *Service) requestLoads(ctx context.Context, link *peer.Link, report *peer.LoadReport, withLoads bool) (*peer.WorkTotals, error) {
	totals := &peer.WorkTotals{}
	totals.Usage.Loads = peer.LoadTotals{DataCentre: link.Remote().DataCentre, DirectoryAge: unknownAge}
	if !withLoads {
		return totals, nil
	}
	loads, err := peer.Request[*peer.LoadTotals](ctx, link, report, requestTimeout)
	if err != nil {
		return nil, err
	}
	totals.Usage.Loads = *loads
	return totals, nil
}

// unknownAge is the age of a directory read that nobody has reported.
const unknownAge = time.Hour

// report returns the counts of open requests for a partner.
func (s *Service) report(now clock.Instant, p *partner, relays, withLoads bool) *peer.LoadReport {
	report := &peer.LoadReport{Router: s.ID, DataCentre: s.Self.DataCentre, Sum: relays}
	if withLoads {
		counts := s.InFlight.Local()
		if relays {
			counts = s.InFlight.SumOf(now, s.Self.DataCentre)
		}
		s.mu.Lock()
		ids := s.currentIDs()
		report.Open = inflight.Pack(ids, counts, p.digest != ids.Digest)
		s.mu.Unlock()
	}
	report.DirectoryAge, _ = s.DirectoryState()
	if relays {
		report.DirectoryAge = min(report.DirectoryAge, s.directoryAge(now, s.Self.DataCentre))
	}
	return report
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
func (s *Service) record(at clock.Instant, totals *peer.WorkTotals, relays bool) {
	loads := &totals.Usage.Loads
	s.recordRead(loads.DataCentre, at.Add(-loads.DirectoryAge))
	sums := func(t *inflight.Tracker, counts inflight.Counts) { recordSums(t, at, loads.DataCentre, counts, relays) }
	if !totals.Usage.Usage.Wanted.Empty() {
		s.mergeUsage(at, totals.Usage.Usage, sums)
	}
	if !totals.Work.Prompt.Empty() {
		s.mergeWork(at, totals.Work, sums)
	}
	if loads.Open.Empty() {
		return
	}
	if counts, ok := s.unpack(loads.Open); ok {
		sums(s.InFlight, counts)
	}
}

// recordSums stores sums that a relay has received from another data centre or, for any other router, the sums over all others.
func recordSums(t *inflight.Tracker, at clock.Instant, name settings.DataCentre, counts inflight.Counts, relays bool) {
	if relays {
		t.ReportSum(at, name, counts)
		return
	}
	t.ReportTotals(at, counts)
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
