package loads

import (
	"context"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/peer"
)

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
	case *peer.WorkReport:
		usage := &v.Usage
		from = usage.Loads.Router
		totals := peer.UsageTotals{Loads: *s.serveLoads(now, &usage.Loads), Usage: s.serveUsage(now, usage)}
		reply = &peer.WorkTotals{Usage: totals, Work: s.serveWork(now, v)}
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
