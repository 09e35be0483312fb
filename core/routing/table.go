package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"rattantrack.dev/core/settings"
)

// Match is the route of a request.
type Match struct {
	Name  settings.RouteName
	Route settings.Route
}

// Table is an immutable index of one version of the declarations.
type Table struct {
	Revision settings.Revision
	Limits   settings.ClientLimits

	fleet *settings.Declarations
	hosts map[string][]Match
	teams map[settings.KeyDigest]settings.TeamID
}

// New returns the index of a version.
func New(fleet *settings.Declarations, r settings.Revision) *Table {
	t := &Table{
		Revision: r,
		Limits:   fleet.ClientLimits(),
		fleet:    fleet,
		hosts:    make(map[string][]Match),
		teams:    make(map[settings.KeyDigest]settings.TeamID),
	}
	for name, route := range fleet.Routes {
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], Match{Name: name, Route: route})
	}
	for _, list := range t.hosts {
		slices.SortFunc(list, byPrefix)
	}
	for id, team := range fleet.Teams {
		for _, key := range team.Keys {
			t.teams[key] = id
		}
	}
	return t
}

// byPrefix sorts the longest prefix first.
func byPrefix(x, y Match) int {
	if d := cmp.Compare(len(y.Route.PathPrefix), len(x.Route.PathPrefix)); d != 0 {
		return d
	}
	return cmp.Compare(x.Name, y.Name)
}

// Match returns the route with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (Match, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, m := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, m.Route.PathPrefix) {
			return m, true
		}
	}
	return Match{}, false
}

// Team returns the team that holds an API key.
func (t *Table) Team(key string) (settings.TeamID, bool) {
	id, ok := t.teams[settings.DigestKey(key)]
	return id, ok
}

// KeyRequired reports whether clients need a key on routes that are not public.
func (t *Table) KeyRequired() bool { return len(t.fleet.Teams) > 0 }

// Rank returns the urgency of a team's request on a route, where 0 is the most urgent.
func (t *Table) Rank(team settings.TeamID, route *settings.Route) int {
	if rank := t.fleet.Teams[team].Rank; rank != nil {
		return *rank
	}
	return route.Rank
}

// Service returns a declared service.
func (t *Table) Service(name settings.ServiceName) settings.Service { return t.fleet.Services[name] }

// Pick returns the back end at a point between 0 and 1 of the route's weights.
func Pick(route *settings.Route, point float64) settings.ServiceName {
	total := 0
	for _, b := range route.Backends {
		total += b.Weight
	}
	at := int(point * float64(total))
	for _, b := range route.Backends {
		if at < b.Weight {
			return b.Service
		}
		at -= b.Weight
	}
	return route.Backends[len(route.Backends)-1].Service
}
