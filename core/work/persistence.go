package work

import (
	"math"
	"time"
)

// lagEdges are the upper bounds of the classes of age for which the persistence of readings is learnt.
var lagEdges = [...]time.Duration{
	20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond,
	300 * time.Millisecond, 450 * time.Millisecond, 700 * time.Millisecond, 1000 * time.Millisecond, 1500 * time.Millisecond,
}

const (
	// lagMemory is the number of pairs of readings after which older ones have lost most of their weight.
	lagMemory = 2000
	// fewPairs is the number of pairs up to which the persistence counts as less than observed, since it may be chance.
	fewPairs = 25
)

// lag holds the sums over pairs of readings of one class of age.
type lag struct {
	pairs, product, squares float64
}

// persistence learns the autocorrelation of readings over their age; the zero value takes them to have none.
type persistence struct {
	lags [len(lagEdges)]lag
}

// add adds a pair of readings of one upstream, each as its deviation from the mean.
func (p *persistence) add(age time.Duration, x, y float64) {
	for i, edge := range lagEdges {
		if age > edge {
			continue
		}
		l := &p.lags[i]
		const keep = 1 - 1.0/lagMemory
		l.pairs, l.product, l.squares = keep*l.pairs+1, keep*l.product+x*y, keep*l.squares+(x*x+y*y)/2
		return
	}
}

// correlation returns the autocorrelation in a class, less as far as it may be chance.
func (l *lag) correlation() float64 {
	if l.squares <= 0 {
		return 0
	}
	return max(0, min(1, l.product/l.squares)) * l.pairs / (l.pairs + fewPairs)
}

// at returns the weight of a reading of an age, from 0 to 1. What older readings are worth is a lower bound for newer ones, of which
// there may be few pairs.
func (p *persistence) at(age time.Duration) float64 {
	weight := 0.0
	for i, edge := range lagEdges {
		if age <= edge {
			weight = max(weight, p.lags[i].correlation())
		}
	}
	return weight
}

// Lag is the persistence of readings up to an age.
type Lag struct {
	UpToMS      int64   `json:"up_to_ms"`
	Pairs       float64 `json:"pairs"`
	Correlation float64 `json:"correlation"`
}

// list returns the persistence by age.
func (p *persistence) list() []Lag {
	var list []Lag
	for i, edge := range lagEdges {
		l := p.lags[i]
		if l.pairs < 1 {
			continue
		}
		list = append(list, Lag{UpToMS: edge.Milliseconds(), Pairs: math.Round(l.pairs), Correlation: math.Round(100*l.correlation()) / 100})
	}
	return list
}
