package routers

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/unresponsive"
	"rattantrack.dev/router/internal/exchange"
)

// treeNode is a router of a large fleet on loopback.
type treeNode struct {
	service  *Service
	exchange *exchange.Service
	endpoint *peer.Endpoint
	scope    tally.TestScope
	stop     func()
}

// Serve passes messages to the services.
func (n *treeNode) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	if !n.service.Serve(ctx, st, m) {
		n.exchange.Serve(ctx, st, m)
	}
}

// startTreeNode starts a router in one of three data centres whose settings name some seeds. Old routers speak an older protocol.
func startTreeNode(t testing.TB, i int, ln net.Listener, seeds []string, old bool) *treeNode {
	c := qt.New(t)
	n := &treeNode{scope: tally.NewTestScope("", nil)}
	id, dataCentre := fmt.Sprintf("router-%d", i), settings.DataCentre(fmt.Sprint(i%3))
	allow, err := peer.ParseNetworks([]string{"127.0.0.0/8"})
	c.Assert(err, qt.IsNil)
	version := peer.ProtocolVersion
	if old {
		version = peer.StateExchangeVersion - 1
	}
	n.endpoint = &peer.Endpoint{
		LocalHello: func() peer.Hello {
			return peer.Hello{Protocol: version, Role: peer.RoleRouter, ID: id, DataCentre: dataCentre}
		},
		Handler: n, Allow: allow,
	}
	incarnation := peer.Incarnation(fmt.Sprint(id, time.Now().UnixNano()))
	n.service = &Service{
		ID: inflight.RouterID(id), Address: ln.Addr().String(), Cores: 0.8, Incarnation: incarnation, DataCentre: dataCentre, Seeds: seeds,
		Dialer: n.endpoint, InFlight: &inflight.Tracker{}, Unresponsive: &unresponsive.Detector{}, Affinity: &affinity.Index{},
		Members: &members.Registry{}, Evacuations: &evacuation.Tracker{}, Clock: clock.Boot{}, Log: log.New(io.Discard), Scope: n.scope,
		HasCacheEntries: func() bool { return true },
		DirectoryState:  func() (time.Duration, bool) { return 0, false },
		CacheQueried:    func() []settings.UpstreamID { return nil },
		OnEvents:        func(string, []members.Event) {},
		OnEvacuations:   func(string, []evacuation.Change) {},
	}
	n.exchange = &exchange.Service{
		ID: n.service.ID, Address: n.service.Address, Incarnation: incarnation, Routers: n.service, Dialer: n.endpoint,
		Sections: n.service.Sections(), Clock: clock.Boot{}, Log: log.New(io.Discard), Scope: n.scope,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	go func() { _ = n.service.Run(ctx, func() {}); done <- struct{}{} }()
	go func() { _ = n.exchange.Run(ctx, func() {}); done <- struct{}{} }()
	go func() { _ = n.endpoint.Listen(ctx, ln); done <- struct{}{} }()
	stopped := false
	n.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		n.endpoint.Close()
		for range 3 {
			<-done
		}
	}
	t.Cleanup(n.stop)
	return n
}

// startTree starts n routers at once whose settings name the first three, and the last old ones with an older program.
func startTree(t testing.TB, n, old int) []*treeNode {
	c := qt.New(t)
	var listeners []net.Listener
	var seeds []string
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		listeners = append(listeners, ln)
		if i < 3 {
			seeds = append(seeds, ln.Addr().String())
		}
	}
	var nodes []*treeNode
	for i, ln := range listeners {
		nodes = append(nodes, startTreeNode(t, i, ln, seeds, i >= n-old))
	}
	return nodes
}

// all waits until a condition holds at each router.
func all(t testing.TB, what string, nodes []*treeNode, ok func(n *treeNode) bool) {
	t.Helper()
	start := time.Now()
	for time.Since(start) < 20*time.Second {
		left := 0
		for _, n := range nodes {
			if !ok(n) {
				left++
			}
		}
		if left == 0 {
			t.Logf("%s after %v", what, time.Since(start))
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	for _, n := range nodes {
		if !ok(n) {
			t.Logf("%s at %s reaches %d", n.service.ID, n.service.Address, len(n.service.Reachable()))
		}
	}
	t.Fatalf("not at every router: %s", what)
}

func knowsAll(nodes []*treeNode) func(n *treeNode) bool {
	return func(n *treeNode) bool { return len(n.service.Reachable()) == len(nodes)-1 }
}

func spread(t *testing.T, nodes []*treeNode, from *treeNode, id settings.UpstreamID) {
	t.Helper()
	now := clock.Boot{}.Now()
	change := members.Change{ID: id, Revision: 7, Instance: members.Instance{ID: id, Service: "letters"}}
	from.service.Broadcast(members.ChangesOf(from.service.Members.ApplyRelayed(now, []members.Change{change})))
	blocks := []call.PromptBlock{{ID: call.PromptBlockID(len(id)), Tokens: 1000}}
	from.service.Affinity.RecordUse(now, blocks, id)
	all(t, "instance "+string(id), nodes, func(n *treeNode) bool { return len(n.service.Members.IDs()) > 0 && n.hasMember(id) })
	all(t, "cache entry "+string(id), nodes, func(n *treeNode) bool {
		return n.service.Affinity.CachedTokens(clock.Boot{}.Now(), blocks, []settings.UpstreamID{id})[0] == 1000
	})
}

func (n *treeNode) hasMember(id settings.UpstreamID) bool {
	for _, have := range n.service.Members.IDs() {
		if have == id {
			return true
		}
	}
	return false
}

// TestLargeFleetThatStartsAtOnceSpreadsStates guards against the storm of 300 routers that start together: they meet through three seeds,
// and what one knows reaches all over few links.
func TestLargeFleetThatStartsAtOnceSpreadsStates(t *testing.T) {
	nodes := startTree(t, 60, 0)
	all(t, "routers known", nodes, knowsAll(nodes))
	all(t, "tree", nodes, func(n *treeNode) bool { return n.service.FleetSize() == len(nodes) })
	spread(t, nodes, nodes[len(nodes)-1], "engine-1")
	for _, n := range nodes[:3] {
		n.stop()
	}
	left := nodes[3:]
	all(t, "lost routers known", left, knowsAll(left))
	spread(t, left, left[0], "engine-22")
}

// TestRouterThatJoinsLargeFleetGetsState restarts a router of a large fleet.
func TestRouterThatJoinsLargeFleetGetsState(t *testing.T) {
	nodes := startTree(t, 50, 0)
	all(t, "routers known", nodes, knowsAll(nodes))
	nodes[9].service.Members.MarkComplete()
	spread(t, nodes, nodes[7], "engine-1")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	joining := startTreeNode(t, 50, ln, []string{nodes[0].service.Address}, false)
	nodes = append(nodes, joining)
	all(t, "routers known", nodes, knowsAll(nodes))
	all(t, "complete", nodes, func(n *treeNode) bool { return n.service.Members.Complete() && n.hasMember("engine-1") })
}

// TestOldRoutersInLargeFleetAreServed runs old programs, which exchange with everyone, beside new ones.
func TestOldRoutersInLargeFleetAreServed(t *testing.T) {
	nodes := startTree(t, 48, 8)
	all(t, "routers known", nodes, knowsAll(nodes))
	spread(t, nodes, nodes[47], "engine-1")
	spread(t, nodes, nodes[20], "engine-22")
}
