package loads

import (
	"maps"
	"slices"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/peer"
)

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

// serveUsage records what another router has sent to limited upstreams and returns the sums for it.
func (s *Service) serveUsage(now clock.Instant, report *peer.UsageReport) peer.Usage {
	s.mergeUsage(now, report.Usage, func(t *inflight.Tracker, counts inflight.Counts) {
		s.recordReport(t, now, &report.Loads, counts)
	})
	return s.usage(now, report.Usage.LimitsDigest, func(t *inflight.Tracker) inflight.Counts {
		return s.sumsFor(t, now, &report.Loads)
	})
}
