package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/settings"
)

func table() *Table {
	rank := 0
	desk := []settings.Backend{{Service: "desk", Weight: 1}}
	return New(&settings.Declarations{
		Routes: map[settings.RouteName]settings.Route{
			"outer": {Host: "a.example", PathPrefix: "/x/", Backends: desk, Rank: 2},
			"inner": {Host: "a.example", PathPrefix: "/x/y/", Backends: desk},
			"other": {Host: "b.example", PathPrefix: "/x/", Backends: desk},
		},
		Teams: map[settings.TeamID]settings.Team{
			"parents": {Keys: []settings.KeyDigest{settings.DigestKey("k1"), settings.DigestKey("k2")}},
			"heads":   {Keys: []settings.KeyDigest{settings.DigestKey("k3")}, Rank: &rank},
		},
	}, 4)
}

func TestMatch(t *testing.T) {
	tests := []struct {
		name, host, path string
		want             settings.RouteName
	}{
		{"longest prefix wins", "a.example", "/x/y/z", "inner"},
		{"shorter prefix if the longer one does not match", "a.example", "/x/z", "outer"},
		{"path without the slash of the prefix", "a.example", "/x", ""},
		{"prefix that ends inside a path segment", "a.example", "/xy/", ""},
		{"other host, with a port", "b.example:8080", "/x/y/", "other"},
		{"host in other case", "B.Example", "/x/", "other"},
		{"unknown host", "c.example", "/x/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			m, ok := table().Match(tt.host, tt.path)
			c.Assert(ok, qt.Equals, tt.want != "")
			c.Assert(m.Name, qt.Equals, tt.want)
		})
	}
}

func TestTeamsAndRanks(t *testing.T) {
	c := qt.New(t)
	tab := table()
	team, ok := tab.Team("k2")
	c.Assert(ok, qt.IsTrue)
	c.Assert(team, qt.Equals, settings.TeamID("parents"))
	_, ok = tab.Team("")
	c.Assert(ok, qt.IsFalse)
	m, _ := tab.Match("a.example", "/x/")
	c.Assert(tab.Rank("parents", &m.Route), qt.Equals, 2)
	c.Assert(tab.Rank("heads", &m.Route), qt.Equals, 0)
}

func TestPickFollowsTheWeights(t *testing.T) {
	c := qt.New(t)
	route := &settings.Route{Backends: []settings.Backend{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	c.Assert(Pick(route, 0), qt.Equals, settings.ServiceName("a"))
	c.Assert(Pick(route, 0.899), qt.Equals, settings.ServiceName("a"))
	c.Assert(Pick(route, 0.9), qt.Equals, settings.ServiceName("b"))
	c.Assert(Pick(route, 0.999), qt.Equals, settings.ServiceName("b"))
}
