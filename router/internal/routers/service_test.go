package routers

import (
	"context"
	"fmt"
	"io"
	"net"
	"slices"
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
)

// node is one router with its listener.
type node struct {
	service     *Service
	endpoint    *peer.Endpoint
	inFlight    *inflight.Tracker
	affinity    *affinity.Index
	members     *members.Registry
	evacuations *evacuation.Tracker
	stop        func()
}

// Serve passes messages to the service.
func (n *node) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	n.service.Serve(ctx, st, m)
}

// startNodes starts n routers whose settings name only the first one.
func startNodes(t *testing.T, n int) []*node {
	t.Helper()
	c := qt.New(t)
	var nodes []*node
	var seed string
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		address := ln.Addr().String()
		if seed == "" {
			seed = address
		}
		one := &node{inFlight: &inflight.Tracker{}, affinity: &affinity.Index{}, members: &members.Registry{},
			evacuations: &evacuation.Tracker{}}
		id := fmt.Sprintf("router-%d", i)
		allow, err := peer.ParseNetworks([]string{"127.0.0.0/8"})
		c.Assert(err, qt.IsNil)
		one.endpoint = &peer.Endpoint{
			LocalHello: func() peer.Hello { return peer.Hello{Protocol: peer.ProtocolVersion, Role: peer.RoleRouter, ID: id} },
			Handler:    one,
			Allow:      allow,
		}
		one.service = &Service{
			ID: inflight.RouterID(id), Address: address, Cores: float64(i + 1), Incarnation: peer.Incarnation(id), Seeds: []string{seed},
			Dialer: one.endpoint, InFlight: one.inFlight, Unresponsive: &unresponsive.Detector{}, Affinity: one.affinity,
			Members: one.members, Evacuations: one.evacuations, Clock: clock.Boot{},
			Log: log.New(io.Discard), Scope: tally.NoopScope, HasCacheEntries: func() bool { return true },
			DirectoryState: func() (time.Duration, bool) { return 0, false },
			CacheQueried:   func() []settings.UpstreamID { return nil },
			OnEvents:       func(string, []members.Event) {},
			OnEvacuations:  func(string, []evacuation.Change) {},
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = one.service.Run(ctx, func() {})
		}()
		listened := make(chan struct{})
		go func() {
			defer close(listened)
			_ = one.endpoint.Listen(ctx, ln)
		}()
		one.stop = func() {
			cancel()
			one.endpoint.Close()
			<-done
			<-listened
		}
		t.Cleanup(one.stop)
		nodes = append(nodes, one)
	}
	return nodes
}

// eventually waits until ok returns true. The limit of 10 s allows for a busy machine.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("condition not met in time")
}

// TestAllRoutersShareOpenRequests starts a fleet whose settings name one router. Each router must count the open requests
// of all, or the load bound would be derived from a part of the load.
func TestAllRoutersShareOpenRequests(t *testing.T) {
	nodes := startNodes(t, 5)
	for _, n := range nodes {
		n.inFlight.Begin("engine-1")
	}
	eventually(t, func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool {
			return n.inFlight.Loads(clock.Boot{}.Now(), []settings.UpstreamID{"engine-1"})[0] != len(nodes)
		})
	})
}

// TestRoutersReportCores starts routers with different numbers of cores, by which the pollers of the directory are chosen.
func TestRoutersReportCores(t *testing.T) {
	nodes := startNodes(t, 3)
	eventually(t, func() bool {
		cores := 0.0
		for _, r := range nodes[0].service.Pollers() {
			cores += r.Cores
		}
		return cores == 2+3
	})
}

func TestCacheEntriesAndInstancesAreExchanged(t *testing.T) {
	nodes := startNodes(t, 3)
	blocks := []call.PromptBlock{{ID: 9, Tokens: 1000}}
	nodes[1].affinity.RecordUse(clock.Boot{}.Now(), blocks, "engine-1")
	change := members.Change{ID: "engine-1", Revision: 7, Instance: members.Instance{ID: "engine-1", Service: "letters"}}
	nodes[1].members.ApplyRelayed(clock.Boot{}.Now(), []members.Change{change})
	nodes[1].service.Broadcast([]members.Change{change})
	eventually(t, func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool {
			cachedTokens := n.affinity.CachedTokens(clock.Boot{}.Now(), blocks, []settings.UpstreamID{"engine-1"})
			return cachedTokens[0] != 1000 || len(n.members.Serving("letters")) != 1
		})
	})
}

// cacheEntries returns the cache entries in a state.
// TestEvacuationReachesAllRouters guards against a router that sends to an evacuated data centre because the directory does not answer it.
func TestEvacuationReachesAllRouters(t *testing.T) {
	nodes := startNodes(t, 3)
	order := evacuation.Change{DataCentre: "kano", Revision: 7, Evacuated: true}
	nodes[1].evacuations.Apply(clock.Boot{}.Now(), []evacuation.Change{order})
	eventually(t, func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return !n.evacuations.Evacuated("kano") })
	})
	order.Revision, order.Evacuated = 8, false
	nodes[2].evacuations.Apply(clock.Boot{}.Now(), []evacuation.Change{order})
	eventually(t, func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return n.evacuations.Evacuated("kano") })
	})
}

func cacheEntries(c *qt.C, state *peer.RouterState) []affinity.CacheEntry {
	list, err := affinity.Unpack(state.CacheEntries)
	c.Assert(err, qt.IsNil)
	return list
}

// TestAllCacheEntriesAreSentOnRequestOnly guards against sending the complete cache index in every exchange: a starting
// router gets it in one response, all others get updates. Otherwise each start costs one copy per pair of routers.
func TestAllCacheEntriesAreSentOnRequestOnly(t *testing.T) {
	c := qt.New(t)
	s := &Service{
		ID: "a", Address: "127.0.0.1:1", InFlight: &inflight.Tracker{}, Unresponsive: &unresponsive.Detector{},
		Affinity: &affinity.Index{}, Members: &members.Registry{}, Evacuations: &evacuation.Tracker{}, Clock: clock.Boot{},
		HasCacheEntries: func() bool { return true },
		DirectoryState:  func() (time.Duration, bool) { return 0, false },
		CacheQueried:    func() []settings.UpstreamID { return nil },
	}
	now := clock.Boot{}.Now()
	for i := range 100 {
		s.Affinity.RecordUse(now, []call.PromptBlock{{ID: call.PromptBlockID(i), Tokens: 10}}, "engine-1")
	}
	s.Affinity.TakeUpdates(now)
	s.mu.Lock()
	r := s.routerAt("127.0.0.1:2")
	s.mu.Unlock()
	c.Assert(cacheEntries(c, s.state(r, false, true)), qt.HasLen, 100)
	c.Assert(cacheEntries(c, s.state(r, false, false)), qt.HasLen, 0)
	c.Assert(cacheEntries(c, s.state(r, true, false)), qt.HasLen, 0)
}

// TestRouterDiscoveredLaterGetsBacklog covers two routers that start at the same time: a router must send the cache entries
// that it recorded before it discovered the other one.
func TestRouterDiscoveredLaterGetsBacklog(t *testing.T) {
	c := qt.New(t)
	s := &Service{
		ID: "a", Address: "127.0.0.1:1", InFlight: &inflight.Tracker{}, Unresponsive: &unresponsive.Detector{},
		Affinity: &affinity.Index{}, Members: &members.Registry{}, Evacuations: &evacuation.Tracker{}, Clock: clock.Boot{},
		HasCacheEntries: func() bool { return true },
		DirectoryState:  func() (time.Duration, bool) { return 0, false },
		CacheQueried:    func() []settings.UpstreamID { return nil },
	}
	s.Affinity.RecordUse(clock.Boot{}.Now(), []call.PromptBlock{{ID: 9, Tokens: 10}}, "engine-1")
	s.queueCacheUpdates()
	s.mu.Lock()
	r := s.routerAt("127.0.0.1:2")
	s.mu.Unlock()
	c.Assert(cacheEntries(c, s.state(r, true, false)), qt.HasLen, 1)
	c.Assert(cacheEntries(c, s.state(r, true, false)), qt.HasLen, 0)
}

// TestOneExchangeAtATimeRequestsAllEntries covers a router that starts in a large fleet and begins an exchange with every
// other router at once.
func TestOneExchangeAtATimeRequestsAllEntries(t *testing.T) {
	c := qt.New(t)
	s := &Service{HasCacheEntries: func() bool { return false }}
	c.Assert(s.beginEntriesRequest(&router{}), qt.IsFalse, qt.Commentf("a router without cache entries gets no request"))
	r := &router{hasCacheEntries: true}
	c.Assert(s.beginEntriesRequest(r), qt.IsTrue)
	c.Assert(s.beginEntriesRequest(r), qt.IsFalse)
	s.requestingEntries = false
	c.Assert(s.beginEntriesRequest(r), qt.IsTrue)
	s.requestingEntries, s.cacheEntriesReceived = false, true
	c.Assert(s.beginEntriesRequest(r), qt.IsFalse)
}

func TestDumpOmitsTheTimeSinceAnExchangeThatNeverHappened(t *testing.T) {
	c := qt.New(t)
	now := clock.Boot{}.Now()
	s := &Service{Clock: clock.Boot{}, routers: map[string]*router{"a": {}}}
	c.Assert(s.Dump().([]Status)[0].SinceExchangeMS, qt.IsNil)
	s.routers["a"].lastExchange = now
	c.Assert(*s.Dump().([]Status)[0].SinceExchangeMS < 10_000, qt.IsTrue)
}

// TestUnchangedAddressesAreSentOnce covers the largest part of a state in a large fleet.
func TestUnchangedAddressesAreSentOnce(t *testing.T) {
	c := qt.New(t)
	now := clock.Boot{}.Now()
	met := func() *router { return &router{lastExchange: now} }
	s := &Service{routers: map[string]*router{"a": met(), "b": met(), "c": met()}}
	for address, r := range s.routers {
		r.address = address
	}
	r := s.routers["a"]
	c.Assert(s.newAddresses(now, r), qt.HasLen, 2)
	c.Assert(s.newAddresses(now, r), qt.HasLen, 0)
	s.routers["d"] = &router{address: "d"}
	c.Assert(s.newAddresses(now, r), qt.HasLen, 0, qt.Commentf("a router that was not reached is not passed on"))
	s.routers["d"].lastReceived = now
	c.Assert(s.newAddresses(now, r), qt.HasLen, 3)
	c.Assert(s.newAddresses(now, r), qt.HasLen, 0)
	c.Assert(s.newAddresses(now.Add(addressesInterval), r), qt.HasLen, 3)
	s.recordFailure(&router{lost: true}, nil, now)
	r.lost = true
	s.recordFailure(r, nil, now)
	c.Assert(s.newAddresses(now, r), qt.HasLen, 3)
}

// TestRouterThatRestartedIsNotLost guards against a router that another one takes for the process before, because it has started again
// between two exchanges: what that process alone knew is lost.
func TestRouterThatRestartedIsNotLost(t *testing.T) {
	c := qt.New(t)
	now := clock.Boot{}.Now()
	after := func(s int) clock.Instant { return now.Add(time.Duration(s) * time.Second) }
	r := &router{address: "a"}
	s := &Service{Address: "self", routers: map[string]*router{"a": r}, Log: log.New(io.Discard), Scope: tally.NoopScope}
	c.Assert(r.runsAs(now, "1"), qt.IsTrue)
	c.Assert(r.runsAs(now, "1"), qt.IsFalse)
	c.Assert(s.LastLoss(), qt.Equals, clock.Instant(0))
	c.Assert(r.runsAs(after(1), "2"), qt.IsTrue)
	c.Assert(s.LastLoss(), qt.Equals, after(1))
	s.applyEntry(after(2), "b", routerEntry{Address: "a", Incarnation: "3", Beat: 1})
	c.Assert(s.LastLoss(), qt.Equals, after(2))
	s.recordFailure(r, nil, after(3))
	c.Assert(s.LastLoss(), qt.Equals, after(3))
}
