package meanload

import (
	"slices"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Times of an estimate.
const (
	// ExchangeInterval is the time between two exchanges that one side starts.
	ExchangeInterval = 125 * time.Millisecond
	// MaxAge is the age above which an estimate must not be used.
	MaxAge = 3 * time.Second
)

// currentWeight is the weight of the mean of the two current loads, against the mean of the two estimates, in one exchange.
const currentWeight = 0.15

// Limits of the load reports of other sides. Only a side's report of its own load is kept: forwarded reports would direct
// the whole fleet to the same few sides.
const (
	maxReports   = 8
	maxReportAge = 2 * time.Second
)

// Sample is the message that each side sends in an exchange. Mean is valid if MeanKnown is true.
type Sample struct {
	Side      settings.UpstreamID
	Load      settings.Tokens
	Mean      settings.Tokens
	MeanKnown bool
}

// Estimator holds one side's estimate of the mean load and the lowest loads reported to it. The zero value has no estimate.
type Estimator struct {
	mean    settings.Tokens
	updated clock.Instant
	known   bool
	reports []loadReport
}

type loadReport struct {
	side settings.UpstreamID
	load settings.Tokens
	at   clock.Instant
}

// Mean returns the estimate, or false if there is none or it is older than MaxAge.
func (e *Estimator) Mean(now clock.Instant) (settings.Tokens, bool) {
	if !e.known || now.Sub(e.updated) > MaxAge {
		return 0, false
	}
	return e.mean, true
}

// Age returns the time since the latest exchange.
func (e *Estimator) Age(now clock.Instant) time.Duration { return now.Sub(e.updated) }

// Sample returns the sample to send to another side; own is the current load of this side.
func (e *Estimator) Sample(now clock.Instant, self settings.UpstreamID, own settings.Tokens) Sample {
	m, known := e.Mean(now)
	return Sample{Side: self, Load: own, Mean: m, MeanKnown: known}
}

// Merge updates the estimate with another side's sample. Both sides of an exchange call it, so averaging keeps the sum of
// their estimates. Each estimate also moves towards the current loads, so that the contribution of a lost side fades.
func (e *Estimator) Merge(now clock.Instant, own settings.Tokens, other Sample) {
	current := (own + other.Load) / 2
	estimate := current
	local, known := e.Mean(now)
	switch {
	case known && other.MeanKnown:
		estimate = (local + other.Mean) / 2
	case known:
		estimate = local
	case other.MeanKnown:
		estimate = other.Mean
	}
	e.mean = (1-currentWeight)*estimate + currentWeight*current
	e.updated = now
	e.known = true
	e.addReport(loadReport{side: other.Side, load: other.Load, at: now})
}

// addReport adds a load report to the kept ones, which are those with the lowest loads in ascending order.
func (e *Estimator) addReport(report loadReport) {
	e.Forget(report.side)
	e.dropOldReports(report.at)
	at := len(e.reports)
	for at > 0 && e.reports[at-1].load > report.load {
		at--
	}
	if at >= maxReports {
		return
	}
	e.reports = slices.Insert(e.reports, at, report)
	e.reports = e.reports[:min(len(e.reports), maxReports)]
}

func (e *Estimator) dropOldReports(now clock.Instant) {
	e.reports = slices.DeleteFunc(e.reports, func(report loadReport) bool { return now.Sub(report.at) > maxReportAge })
}

// Forget drops the load report of a side.
func (e *Estimator) Forget(side settings.UpstreamID) {
	e.reports = slices.DeleteFunc(e.reports, func(report loadReport) bool { return report.side == side })
}

// LeastLoaded returns the side with the lowest expected load and that load, leaving out the given sides. A reported load
// below the mean is assumed to approach the mean with the report's age, since other sides send work there, too.
func (e *Estimator) LeastLoaded(now clock.Instant, excluded ...settings.UpstreamID) (settings.UpstreamID, settings.Tokens, bool) {
	e.dropOldReports(now)
	var best settings.UpstreamID
	var least settings.Tokens
	for _, report := range e.reports {
		if slices.Contains(excluded, report.side) {
			continue
		}
		load := report.load
		if e.known && load < e.mean {
			load += (e.mean - load) * settings.Tokens(now.Sub(report.at)) / settings.Tokens(maxReportAge)
		}
		if best == "" || load < least {
			best, least = report.side, load
		}
	}
	return best, least, best != ""
}

// RecordSent adds work that was sent to a side to its reported load, so that requests in quick succession do not all go
// there.
func (e *Estimator) RecordSent(side settings.UpstreamID, work settings.Tokens) {
	i := slices.IndexFunc(e.reports, func(report loadReport) bool { return report.side == side })
	if i < 0 {
		return
	}
	e.reports[i].load += work
	for ; i+1 < len(e.reports) && e.reports[i+1].load < e.reports[i].load; i++ {
		e.reports[i], e.reports[i+1] = e.reports[i+1], e.reports[i]
	}
}
