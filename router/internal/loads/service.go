package loads

import (
	"context"
	"maps"
	"slices"
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
	now := s.Clock.Now()
	limited := s.RateLimits.Active(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slow && !limited {
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
		p.digest = totals.Loads.Open.Digest
	}
	p.limits = totals.Usage.LimitsDigest
	s.mu.Unlock()
	// The counts are as old as the exchange, since the partner may have replied at once and the reply waited here.
	s.record(now, totals, relays)
}

// request sends the counts of this router or, from a relay, the sums of its data centre.
func (s *Service) request(
	ctx context.Context, now clock.Instant, address string, p *partner, relays, withLoads bool,
) (*peer.UsageTotals, error) {
	link, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	report := s.report(now, p, relays, withLoads)
	if link.Version() >= peer.UsageReportVersion {
		s.mu.Lock()
		known := p.limits
		s.mu.Unlock()
		message := &peer.UsageReport{Loads: *report, Usage: s.usage(now, known, func(t *inflight.Tracker) inflight.Counts {
			if relays {
				return t.SumOf(now, s.Self.DataCentre)
			}
			return t.Local()
		})}
		return peer.Request[*peer.UsageTotals](ctx, link, message, requestTimeout)
	}
	if !withLoads {
		return &peer.UsageTotals{Loads: peer.LoadTotals{DataCentre: link.Remote().DataCentre, DirectoryAge: unknownAge}}, nil
	}
	loads, err := peer.Request[*peer.LoadTotals](ctx, link, report, requestTimeout)
	if err != nil {
		return nil, err
	}
	return &peer.UsageTotals{Loads: *loads}, nil
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

// usage returns the usage of rate limits for a router that knows the limits with the given digest. counts selects what it gets.
func (s *Service) usage(now clock.Instant, known uint64, counts func(*inflight.Tracker) inflight.Counts) peer.Usage {
	usage := s.RateLimits.Usage(now)
	u := peer.Usage{Wanted: packAll(counts(usage.Wanted)), Sent: packAll(counts(usage.Sent)), LimitsDigest: s.RateLimits.Digest(now)}
	if known != u.LimitsDigest {
		u.Limits = s.RateLimits.Statements(now)
	}
	return u
}

// packAll encodes counts with the names of their upstreams. Limits are rare, so these take little room.
func packAll(counts inflight.Counts) inflight.Packed {
	return inflight.Pack(inflight.NewIDs(slices.Sorted(maps.Keys(counts))), counts, true)
}

// mergeUsage applies the limits that another router knows, and passes the requests that it reports to record.
func (s *Service) mergeUsage(now clock.Instant, u peer.Usage, record func(*inflight.Tracker, inflight.Counts)) {
	for _, changed := range s.RateLimits.Merge(now, u.Limits) {
		s.Log.Info("rate limit learnt from a router", "upstream", changed.Upstream, "limited", changed.Limited, "per_second", float64(changed.Rate))
	}
	usage := s.RateLimits.Usage(now)
	for _, part := range []struct {
		packed  inflight.Packed
		tracker *inflight.Tracker
	}{{u.Wanted, usage.Wanted}, {u.Sent, usage.Sent}} {
		counts, err := part.packed.Unpack(inflight.IDs{})
		if err != nil {
			s.Scope.Counter("load_exchange_undecoded").Inc(1)
			s.Log.Warn("cannot decode the requests for limited upstreams", "error", err)
			return
		}
		record(part.tracker, counts)
	}
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
func (s *Service) record(at clock.Instant, totals *peer.UsageTotals, relays bool) {
	s.recordRead(totals.Loads.DataCentre, at.Add(-totals.Loads.DirectoryAge))
	if !totals.Usage.Wanted.Empty() {
		s.mergeUsage(at, totals.Usage, func(t *inflight.Tracker, counts inflight.Counts) {
			recordSums(t, at, totals.Loads.DataCentre, counts, relays)
		})
	}
	if totals.Loads.Open.Empty() {
		return
	}
	if counts, ok := s.unpack(totals.Loads.Open); ok {
		recordSums(s.InFlight, at, totals.Loads.DataCentre, counts, relays)
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

// Serve records the counts of another router and replies with sums; it returns false for messages of other services.
func (s *Service) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	now := s.Clock.Now()
	var reply peer.Message
	var from inflight.RouterID
	switch v := m.(type) {
	case *peer.LoadReport:
		from, reply = v.Router, s.serveLoads(now, v)
	case *peer.UsageReport:
		from = v.Loads.Router
		reply = &peer.UsageTotals{Loads: *s.serveLoads(now, &v.Loads), Usage: s.serveUsage(now, v)}
	default:
		return false
	}
	if err := st.Send(ctx, reply); err != nil {
		s.Log.Debug("cannot send counts to a router", "router", from, "error", err)
	}
	return true
}

// serveLoads records the open requests of another router and returns the sums for it.
func (s *Service) serveLoads(now clock.Instant, report *peer.LoadReport) *peer.LoadTotals {
	s.recordRead(report.DataCentre, now.Add(-report.DirectoryAge))
	age, _ := s.DirectoryState()
	if report.Sum {
		age = min(age, s.directoryAge(now, s.Self.DataCentre))
	} else {
		age = min(age, now.Sub(s.LastDirectoryRead()))
	}
	totals := &peer.LoadTotals{DataCentre: s.Self.DataCentre, DirectoryAge: age}
	if report.Open.Empty() {
		return totals
	}
	if counts, ok := s.unpack(report.Open); ok {
		s.recordReport(s.InFlight, now, report, counts)
	}
	counts := s.sumsFor(s.InFlight, now, report)
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.currentIDs()
	totals.Open = inflight.Pack(ids, counts, report.Open.Digest != ids.Digest)
	return totals
}

// serveUsage records what another router has sent to limited upstreams and returns the sums for it.
func (s *Service) serveUsage(now clock.Instant, report *peer.UsageReport) peer.Usage {
	s.mergeUsage(now, report.Usage, func(t *inflight.Tracker, counts inflight.Counts) {
		s.recordReport(t, now, &report.Loads, counts)
	})
	return s.usage(now, report.Usage.LimitsDigest, func(t *inflight.Tracker) inflight.Counts {
		return s.sumsFor(t, now, &report.Loads)
	})
}

// recordReport stores the counts of a router or, from a relay, the sums of its data centre.
func (s *Service) recordReport(t *inflight.Tracker, now clock.Instant, report *peer.LoadReport, counts inflight.Counts) {
	if report.Sum {
		t.ReportSum(now, report.DataCentre, counts)
		return
	}
	t.Report(now, report.Router, report.DataCentre, counts)
}

// sumsFor returns the sums of this data centre for a relay, and those over all other routers for any other one.
func (s *Service) sumsFor(t *inflight.Tracker, now clock.Instant, report *peer.LoadReport) inflight.Counts {
	if report.Sum {
		return t.SumOf(now, s.Self.DataCentre)
	}
	return t.TotalsFor(now, report.Router, s.Self.DataCentre)
}
