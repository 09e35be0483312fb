package routing

import (
	"cmp"
	"net"
	"slices"
	"strings"

	"rattantrack.dev/core/settings"
)

// Match is a route with its name.
type Match struct {
	Name  settings.RouteName
	Route settings.Route
}

// Table is an immutable index of one version of the declarations.
type Table struct {
	Revision settings.Revision
	Limits   settings.ClientLimits

	declarations *settings.Declarations
	hosts        map[string][]Match
	teams        map[settings.KeyDigest]settings.TeamID
}

// New returns the index of one version of the declarations.
func New(declarations *settings.Declarations, r settings.Revision) *Table {
	t := &Table{
		Revision:     r,
		Limits:       declarations.ClientLimits(),
		declarations: declarations,
		hosts:        make(map[string][]Match),
		teams:        make(map[settings.KeyDigest]settings.TeamID),
	}
	for name, route := range declarations.Routes {
		host := strings.ToLower(route.Host)
		t.hosts[host] = append(t.hosts[host], Match{Name: name, Route: route})
	}
	for _, matches := range t.hosts {
		slices.SortFunc(matches, byPrefix)
	}
	for id, team := range declarations.Teams {
		for _, key := range team.Keys {
			t.teams[key] = id
		}
	}
	return t
}

// byPrefix sorts the longest prefix first, and equal lengths by route name.
func byPrefix(x, y Match) int {
	if d := cmp.Compare(len(y.Route.PathPrefix), len(x.Route.PathPrefix)); d != 0 {
		return d
	}
	return cmp.Compare(x.Name, y.Name)
}

// Match returns the host's route with the longest path prefix that matches. The host may include a port.
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

// Team returns the team that an API key belongs to.
func (t *Table) Team(key string) (settings.TeamID, bool) {
	id, ok := t.teams[settings.DigestKey(key)]
	return id, ok
}

// KeyRequired reports whether clients need an API key on routes that are not public.
func (t *Table) KeyRequired() bool { return len(t.declarations.Teams) > 0 }

// Rank returns the urgency of a team's request on a route. 0 is the most urgent.
func (t *Table) Rank(team settings.TeamID, route *settings.Route) int {
	if rank := t.declarations.Teams[team].Rank; rank != nil {
		return *rank
	}
	return route.Rank
}

// Service returns a declared service, or the zero value if it is not declared.
func (t *Table) Service(name settings.ServiceName) settings.Service {
	return t.declarations.Services[name]
}

// Pick returns the service of the back end at a point, from 0 to 1, of the route's summed weights.
func Pick(route *settings.Route, point float64) settings.ServiceName {
	total := 0
	for _, b := range route.Backends {
		total += b.Weight
	}
	remaining := int(point * float64(total))
	for _, b := range route.Backends {
		if remaining < b.Weight {
			return b.Service
		}
		remaining -= b.Weight
	}
	return route.Backends[len(route.Backends)-1].Service
}
