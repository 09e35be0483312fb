package cost

import (
	"math"
	"time"

	"github.com/influxdata/tdigest"

	"rattantrack.dev/core/clock"
)

const (
	// compression bounds a sketch to a few dozen centroids, which gives quartiles to a few percent.
	compression = 16
	// halfLife is the time in which an observation loses half of its weight.
	halfLife = 2 * time.Minute
	// maxLogWeight is the exponent at which weights are scaled down, far below the overflow of a float64.
	maxLogWeight = 50
)

// sketch holds a distribution in which newer observations weigh more. Weights grow with time instead of all older ones shrinking
// (Cormode et al., Forward Decay, ICDE 2009). The zero value is empty and ready to use.
type sketch struct {
	digest *tdigest.TDigest
	// since is when an observation has the weight 1; weight is the sum of all weights.
	since  clock.Instant
	weight float64
}

// add adds an observation.
func (s *sketch) add(now clock.Instant, x, weight float64) {
	if s.digest == nil {
		s.digest, s.since = tdigest.NewWithCompression(compression), now
	}
	exponent := s.exponent(now)
	if exponent > maxLogWeight {
		s.rescale(now, exponent)
		exponent = 0
	}
	w := weight * math.Exp(exponent)
	s.digest.Add(x, w)
	s.weight += w
}

// exponent returns the natural logarithm of the weight of an observation made now.
func (s *sketch) exponent(now clock.Instant) float64 {
	return math.Ln2 * float64(now.Sub(s.since)) / float64(halfLife)
}

// rescale gives an observation made now the weight 1.
func (s *sketch) rescale(now clock.Instant, exponent float64) {
	factor := math.Exp(-exponent)
	old := s.digest.Centroids()
	s.digest = tdigest.NewWithCompression(compression)
	for _, c := range old {
		c.Weight *= factor
		s.digest.AddCentroid(c)
	}
	s.since, s.weight = now, s.weight*factor
}

// count returns the number of observations, each counted by its age.
func (s *sketch) count(now clock.Instant) float64 {
	if s.digest == nil {
		return 0
	}
	return s.weight * math.Exp(-s.exponent(now))
}

// quantile returns a quantile of the distribution, which must not be empty.
func (s *sketch) quantile(q float64) float64 { return s.digest.Quantile(q) }

// spread returns half of the distance between the quantiles that lie one standard deviation from the median of a normal distribution.
func (s *sketch) spread() float64 { return (s.quantile(0.84) - s.quantile(0.16)) / 2 }

// decaying is a sum whose addends lose weight like the observations of a sketch.
type decaying struct {
	sum     float64
	updated clock.Instant
}

// at returns the sum at an instant.
func (d *decaying) at(now clock.Instant) float64 {
	return d.sum * math.Exp2(-float64(now.Sub(d.updated))/float64(halfLife))
}

// add adds to the sum.
func (d *decaying) add(now clock.Instant, v float64) { d.sum, d.updated = d.at(now)+v, now }
