package peer

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/unresponsive"
)

// routerStateVersion5 is RouterState as programs of protocol version 5 know it.
type routerStateVersion5 struct {
	Router            inflight.RouterID
	Address           string
	Incarnation       Incarnation
	Cores             float64
	Open              inflight.Counts
	Observations      unresponsive.Observations
	HasCacheEntries   bool
	WantsCacheEntries bool
	CacheQueried      []settings.UpstreamID
	CacheEntries      []affinity.Batch
	Members           []members.Change
	MembersComplete   bool
	DirectoryAge      time.Duration
	DirectoryFailing  bool
	Routers           []string
}

// Kind returns KindRouterState.
func (*routerStateVersion5) Kind() Kind { return KindRouterState }

// encode returns the body of a message as it is sent.
func encode(c *qt.C, m Message) []byte {
	var buf bytes.Buffer
	c.Assert(appendFrame(&buf, 0, m), qt.IsNil)
	return buf.Bytes()[headerBytes:]
}

// TestRouterStateWithoutEvacuationsIsThatOfOlderPrograms guards against routers of old and new programs that cannot read each other's states.
func TestRouterStateWithoutEvacuationsIsThatOfOlderPrograms(t *testing.T) {
	c := qt.New(t)
	old := routerStateVersion5{Router: "r1", Address: "10.0.0.1:1", Open: inflight.Counts{"u1": 2}, Members: []members.Change{{ID: "u1", Revision: 3}},
		MembersComplete: true, DirectoryAge: time.Second, Routers: []string{"10.0.0.2:1"}}
	state := RouterState{Router: "r1", Address: "10.0.0.1:1", Open: inflight.Counts{"u1": 2}, Members: []members.Change{{ID: "u1", Revision: 3}},
		MembersComplete: true, DirectoryAge: time.Second, Routers: []string{"10.0.0.2:1"}}
	c.Assert(encode(c, &state), qt.DeepEquals, encode(c, &old))
	var read RouterState
	c.Assert(msgpack.Unmarshal(encode(c, &old), &read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, state)
	state.Evacuations = []evacuation.Change{{DataCentre: "kano", Revision: 9, Evacuated: true, Age: time.Second}}
	c.Assert(msgpack.Unmarshal(encode(c, &state), &read), qt.IsNil)
	c.Assert(read, qt.DeepEquals, state)
}
