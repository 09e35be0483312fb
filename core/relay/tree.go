package relay

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// fanout is the number of routers below each router of a tree. A router passes everything on to each of them, so this bounds by how much
// the busiest router sends more than the others; with 75 routers in a data centre the tree is four levels deep.
const fanout = 3

// Parents returns the routers with which self begins exchanges of state: in its data centre the next one up in a tree of all its routers,
// and from the root of that tree the roots of the other data centres. Routers with little CPU are the leaves. Each router computes the
// trees from its own view; where views differ for a moment, the exchanges form another graph, on which state spreads too.
func Parents(self Router, others []Router) (parents []string, root bool) {
	byDataCentre := map[string][]Router{string(self.DataCentre): {self}}
	for _, r := range others {
		byDataCentre[string(r.DataCentre)] = append(byDataCentre[string(r.DataCentre)], r)
	}
	own := byDataCentre[string(self.DataCentre)]
	rank(own)
	position := slices.IndexFunc(own, func(r Router) bool { return r.Address == self.Address })
	if position > 0 {
		return []string{own[(position-1)/fanout].Address}, false
	}
	for name, routers := range byDataCentre {
		if name != string(self.DataCentre) {
			rank(routers)
			parents = append(parents, routers[0].Address)
		}
	}
	slices.Sort(parents)
	return parents, true
}

// rank sorts the routers of a data centre from the root of its tree to the leaves.
func rank(routers []Router) {
	largest := 0.0
	for _, r := range routers {
		largest = max(largest, r.Cores)
	}
	small := func(r Router) int {
		if r.Cores < minCoreShare*largest {
			return 1
		}
		return 0
	}
	slices.SortFunc(routers, func(x, y Router) int {
		return cmp.Or(small(x)-small(y), cmp.Compare(xxhash.Sum64String(x.Address), xxhash.Sum64String(y.Address)))
	})
}
