package fairshare

import (
	"math"
	"time"

	"rattantrack.dev/core/clock"
)

// rate is a decaying average of work per second since the first record.
type rate struct {
	sum       float64
	since, at clock.Instant
}

// decay lets what was recorded before now count less, by the time constant.
func (r *rate) decay(now clock.Instant, constant time.Duration) {
	if r.at == 0 {
		r.since = now
	} else if d := now.Sub(r.at); d > 0 {
		r.sum *= math.Exp(-d.Seconds() / constant.Seconds())
	}
	r.at = max(r.at, now)
}

// add records work.
func (r *rate) add(now clock.Instant, work float64, constant time.Duration) {
	r.decay(now, constant)
	r.sum += work
}

// perSecond returns the average. minSpan is the time over which work is averaged at least, so that the first request does not count as
// a high rate.
func (r *rate) perSecond(now clock.Instant, constant, minSpan time.Duration) float64 {
	if r.at == 0 {
		return 0
	}
	r.decay(now, constant)
	span := constant.Seconds() * (1 - math.Exp(-max(now.Sub(r.since), minSpan).Seconds()/constant.Seconds()))
	return r.sum / span
}
