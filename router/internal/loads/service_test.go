package loads

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/ratelimit"
	"rattantrack.dev/core/relay"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/work"
)

// fleet is a set of routers on loopback that know each other.
type fleet struct {
	mu    sync.Mutex
	nodes []*node
}

// node is one router of a fleet.
type node struct {
	fleet   *fleet
	service *Service
	stop    func()
	lost    bool
}

// Relays returns the routers that are not lost.
func (n *node) Relays(time.Duration) (list []relay.Router, slow bool) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for _, other := range n.fleet.nodes {
		if other != n && !other.lost {
			list = append(list, other.service.Self)
		}
	}
	return list, true
}

func (n *node) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	n.service.Serve(ctx, st, m)
}

// instances returns a list of the upstreams e0 to e(n-1).
func instances(n int) []members.Change {
	var list []members.Change
	for i := range n {
		id := settings.UpstreamID(fmt.Sprintf("e%d", i))
		list = append(list, members.Change{ID: id, Revision: 1, Instance: members.Instance{ID: id, Service: "letters"}})
	}
	return list
}

// startFleet starts routers in data centres of three.
func startFleet(t *testing.T, n int) *fleet {
	t.Helper()
	return startMixedFleet(t, n, func(int) int { return peer.ProtocolVersion })
}

// startMixedFleet starts routers that speak the given versions of the protocol.
func startMixedFleet(t *testing.T, n int, version func(i int) int) *fleet {
	t.Helper()
	c := qt.New(t)
	f := &fleet{}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		allow, err := peer.ParseNetworks([]string{"127.0.0.0/8"})
		c.Assert(err, qt.IsNil)
		one := &node{fleet: f}
		id := fmt.Sprintf("router-%d", i)
		endpoint := &peer.Endpoint{
			LocalHello: func() peer.Hello { return peer.Hello{Protocol: version(i), Role: peer.RoleRouter, ID: id} },
			Handler:    one, Allow: allow,
		}
		one.service = &Service{
			ID:      inflight.RouterID(id),
			Self:    relay.Router{Address: ln.Addr().String(), DataCentre: settings.DataCentre(fmt.Sprint(i / 3)), Cores: 1},
			Routers: one, Dialer: endpoint, InFlight: &inflight.Tracker{}, RateLimits: &ratelimit.Tracker{}, Work: &work.Tracker{}, Members: &members.Registry{}, Clock: clock.Boot{},
			DirectoryState: func() (time.Duration, bool) {
				if i == 0 {
					return 0, false
				}
				return time.Hour, false
			},
			Log: log.New(io.Discard), Scope: tally.NoopScope,
		}
		one.service.Members.Replace(clock.Boot{}.Now(), 1, instances(4))
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Add(2)
		go func() {
			defer wg.Done()
			_ = one.service.Run(ctx, func() {})
		}()
		go func() {
			defer wg.Done()
			_ = endpoint.Listen(ctx, ln)
		}()
		one.stop = sync.OnceFunc(func() {
			cancel()
			endpoint.Close()
			wg.Wait()
		})
		t.Cleanup(one.stop)
		f.nodes = append(f.nodes, one)
	}
	return f
}

// eventually waits until every router that is not lost sees the given load of e1.
func (f *fleet) eventually(t *testing.T, want int) {
	t.Helper()
	var loads []int
	for range 500 {
		loads = loads[:0]
		f.mu.Lock()
		for _, n := range f.nodes {
			if !n.lost {
				loads = append(loads, n.service.InFlight.Loads(clock.Boot{}.Now(), []settings.UpstreamID{"e1"})[0])
			}
		}
		f.mu.Unlock()
		if !slices.ContainsFunc(loads, func(load int) bool { return load != want }) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("loads %v, not %d", loads, want)
}

// TestAllRoutersSeeTheLoadOfAll counts requests at nine routers in three data centres, of which only the relays speak to each other,
// and then stops the relays one after the other.
func TestAllRoutersSeeTheLoadOfAll(t *testing.T) {
	f := startFleet(t, 9)
	for _, n := range f.nodes {
		n.service.InFlight.Begin("e1")
	}
	f.eventually(t, 9)
	f.nodes[8].service.InFlight.Begin("e1")
	f.eventually(t, 10)
	f.nodes[8].service.InFlight.End("e1")
	f.eventually(t, 9)
	left := 9
	for range 3 {
		for _, n := range f.nodes {
			n.service.mu.Lock()
			relays := n.service.relays
			n.service.mu.Unlock()
			if !relays || n.lost {
				continue
			}
			n.stop()
			f.mu.Lock()
			n.lost = true
			f.mu.Unlock()
			left--
			break
		}
		f.eventually(t, left)
	}
}

// TestRoutersWithDifferentListsAgree covers routers that learn of an upstream at different times: counts that cannot be decoded
// are sent again with names.
func TestRoutersWithDifferentListsAgree(t *testing.T) {
	f := startFleet(t, 6)
	f.nodes[0].service.Members.Apply(clock.Boot{}.Now(), []members.Change{{
		ID: "e0a", Revision: 2, Instance: members.Instance{ID: "e0a", Service: "letters"},
	}})
	for _, n := range f.nodes {
		n.service.InFlight.Begin("e1")
	}
	f.eventually(t, 6)
}

// TestReadsOfTheDirectoryAreKnownEverywhere covers a fleet in which one router reads the directory. When that ends, the read must age
// everywhere: no router may take it for a newer one that it has heard back.
func TestReadsOfTheDirectoryAreKnownEverywhere(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, 9)
	oldest := func(nodes []*node) time.Duration {
		var age time.Duration
		for _, n := range nodes {
			age = max(age, clock.Boot{}.Now().Sub(n.service.LastDirectoryRead()))
		}
		return age
	}
	for range 500 {
		if oldest(f.nodes[1:]) < time.Second {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(oldest(f.nodes[1:]) < time.Second, qt.IsTrue)
	f.nodes[0].stop()
	f.mu.Lock()
	f.nodes[0].lost = true
	f.mu.Unlock()
	time.Sleep(2 * time.Second)
	for _, n := range f.nodes[1:] {
		age := clock.Boot{}.Now().Sub(n.service.LastDirectoryRead())
		c.Assert(age > 1500*time.Millisecond, qt.IsTrue, qt.Commentf("%s: %v", n.service.ID, age))
	}
}
