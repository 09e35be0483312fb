package loads

import (
	"fmt"
	"math"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/work"
)

// speedsInterval is the time between two reports of the upstreams' speeds.
const speedsInterval = 5 * time.Second

// reportSpeeds logs from time to time how fast upstreams state to work and for how long such statements hold, and sets the metrics.
func (s *Service) reportSpeeds() {
	now := s.Clock.Now()
	if now.Sub(s.speedsReported) < speedsInterval || !s.Work.Active(now) {
		return
	}
	s.speedsReported = now
	st := s.Work.Status(now)
	fields := []any{"upstreams", st.Upstreams, "slow", st.Slow, "mean", math.Round(100*st.Mean) / 100}
	for _, l := range st.Lags {
		fields = append(fields, fmt.Sprintf("persistence_%dms", l.UpToMS), l.Correlation, fmt.Sprintf("pairs_%dms", l.UpToMS), l.Pairs)
		s.Scope.Tagged(map[string]string{"up_to_ms": fmt.Sprint(l.UpToMS)}).Gauge("reading_persistence").Update(l.Correlation)
	}
	s.Scope.Gauge("slow_upstreams").Update(float64(st.Slow))
	s.Log.Info("upstream speeds", fields...)
}

// packWork returns the work for a partner whose list of upstreams has the given digest. counts selects the sums that it gets.
func (s *Service) packWork(now clock.Instant, digest uint64, counts func(*inflight.Tracker) inflight.Counts) peer.Work {
	s.mu.Lock()
	ids := s.currentIDs()
	s.mu.Unlock()
	return peer.Work{
		Prompt:   inflight.Pack(ids, counts(&s.Work.Prompt), digest != ids.Digest),
		Events:   inflight.Pack(ids, counts(&s.Work.Events), false),
		Readings: work.PackReadings(ids, s.Work.Recent(now)),
	}
}

// mergeWork applies the readings of another router, and passes its amounts to record.
func (s *Service) mergeWork(now clock.Instant, w peer.Work, record func(*inflight.Tracker, inflight.Counts)) {
	s.mu.Lock()
	ids := s.currentIDs()
	s.mu.Unlock()
	if len(w.Prompt.Names) > 0 {
		ids = inflight.NewIDs(w.Prompt.Names)
	}
	if ids.Digest != w.Prompt.Digest {
		// The next message has the names of the upstreams.
		s.Scope.Counter("work_exchange_undecoded").Inc(1)
		return
	}
	prompt, err := w.Prompt.Unpack(ids)
	if err != nil {
		s.logUndecodedWork(err)
		return
	}
	events, err := w.Events.Unpack(ids)
	if err != nil {
		s.logUndecodedWork(err)
		return
	}
	record(&s.Work.Prompt, prompt)
	record(&s.Work.Events, events)
	readings, err := work.UnpackReadings(ids, w.Readings)
	if err != nil {
		s.logUndecodedWork(err)
		return
	}
	s.Work.Merge(now, readings)
}

func (s *Service) logUndecodedWork(err error) {
	s.Scope.Counter("work_exchange_undecoded").Inc(1)
	s.Log.Warn("cannot decode the work of a router", "error", err)
}

// serveWork records the work of another router and returns the sums for it.
func (s *Service) serveWork(now clock.Instant, report *peer.WorkReport) peer.Work {
	loads := &report.Usage.Loads
	s.mergeWork(now, report.Work, func(t *inflight.Tracker, counts inflight.Counts) { s.recordReport(t, now, loads, counts) })
	return s.packWork(now, report.Work.Prompt.Digest, func(t *inflight.Tracker) inflight.Counts { return s.sumsFor(t, now, loads) })
}
