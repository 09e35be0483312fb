package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// demand is what a team asks for and what it is entitled to in proportion to the others, both in work per second.
type demand struct {
	wanted, weight float64
}

// level returns the weighted max-min fair level for a capacity: each team gets what it wants, up to the level times its weight, and all
// of them together get the capacity (Bertsekas and Gallager, Data Networks, 1992). It is infinite if the capacity is enough for all.
func level(demands []demand, capacity float64) float64 {
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.wanted*b.weight, b.wanted*a.weight) })
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	for _, d := range demands {
		if weights <= 0 {
			break
		}
		if l := capacity / weights; d.wanted > l*d.weight {
			return l
		}
		capacity -= d.wanted
		weights -= d.weight
	}
	return math.Inf(1)
}
