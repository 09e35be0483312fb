package origins

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/origin"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// fleet is a set of routers on loopback that know each other.
type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[string]*node
	runs  int
	// unread makes routers start that have neither read the directory nor met each other.
	unread bool
}

// node is one router of a fleet.
type node struct {
	fleet       *fleet
	address     string
	incarnation peer.Incarnation
	service     *Service
	stop        func()
	// blind means that the router has met no other one yet.
	blind atomic.Bool
	// cut means that the router and the others do not reach each other.
	cut atomic.Bool
	// directoryAge is the age of the newest news from the directory.
	directoryAge atomic.Int64
	// lostAt is when another router was last lost.
	lostAt atomic.Int64
	// refreshed is called for a read of the directory, nil if that cannot be read.
	refreshed func()
}

// errUnreadable is the error of a directory that cannot be read.
var errUnreadable = errors.New("the directory cannot be read")

func (n *node) refresh() error {
	if n.refreshed == nil {
		return errUnreadable
	}
	n.refreshed()
	return nil
}

// InTouch reports that the router reaches the others.
func (n *node) InTouch() bool { return !n.cut.Load() }

// LastLoss returns when another router was last lost.
func (n *node) LastLoss() clock.Instant { return clock.Instant(n.lostAt.Load()) }

// OriginRouters returns the other routers that run.
func (n *node) OriginRouters() (list []Router) {
	if n.blind.Load() || n.cut.Load() {
		return nil
	}
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for address, other := range n.fleet.nodes {
		if address != n.address && !other.cut.Load() {
			list = append(list, Router{Address: address, Incarnation: other.incarnation})
		}
	}
	return list
}

func (n *node) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	n.service.Serve(ctx, st, m)
}

// start starts a router, at the given address unless that is empty. first reports that the fleet starts for the first time.
func (f *fleet) start(address string, first bool) *node {
	c := qt.New(f.t)
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	c.Assert(err, qt.IsNil)
	allow, err := peer.ParseNetworks([]string{"127.0.0.0/8"})
	c.Assert(err, qt.IsNil)
	f.mu.Lock()
	f.runs++
	n := &node{fleet: f, address: ln.Addr().String(), incarnation: peer.Incarnation(fmt.Sprint(f.runs))}
	f.mu.Unlock()
	if f.unread {
		n.directoryAge.Store(int64(time.Hour))
		n.cut.Store(true)
	}
	endpoint := &peer.Endpoint{
		LocalHello: func() peer.Hello {
			return peer.Hello{Protocol: peer.ProtocolVersion, Role: peer.RoleRouter, ID: n.address, Incarnation: n.incarnation}
		},
		Handler: n, Allow: allow,
	}
	n.service = &Service{
		ID: inflight.RouterID(n.address), Address: n.address, FirstStart: first, Routers: n, Dialer: endpoint, Clock: clock.Boot{},
		Caches: &affinity.Index{}, Demand: func(settings.ServiceName, clock.Instant) {},
		DirectoryAge: func() time.Duration { return time.Duration(n.directoryAge.Load()) }, Refresh: func(context.Context) error { return n.refresh() },
		Log: log.New(io.Discard), Scope: tally.NoopScope,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	running := make(chan struct{})
	wg.Go(func() { _ = n.service.Run(ctx, func() { close(running) }) })
	wg.Go(func() { _ = endpoint.Listen(ctx, ln) })
	f.mu.Lock()
	if f.nodes == nil {
		f.nodes = make(map[string]*node)
	}
	f.nodes[n.address] = n
	f.mu.Unlock()
	<-running
	n.stop = sync.OnceFunc(func() {
		f.mu.Lock()
		if f.nodes[n.address] == n {
			delete(f.nodes, n.address)
		}
		f.mu.Unlock()
		cancel()
		endpoint.Close()
		wg.Wait()
	})
	f.t.Cleanup(n.stop)
	return n
}

// startServing starts routers, of a new fleet if first is set, all of which list an instance a of version v1.
func (f *fleet) startServing(n int, first bool) (nodes []*node) {
	for range n {
		started := f.start("", first)
		started.list("a", "v1")
		nodes = append(nodes, started)
	}
	time.Sleep(3 * reviewInterval)
	return nodes
}

// list adds an instance of a version at a router.
func (n *node) list(id string, version members.Version) {
	n.service.Apply([]members.Event{{ID: settings.UpstreamID(id), Kind: members.EventAdded, Instance: members.Instance{
		ID: settings.UpstreamID(id), Service: "letters", Version: version, Incarnation: members.Incarnation(time.Now().UnixMilli()),
	}}})
}

// unlist removes an instance.
func (n *node) unlist(id string) {
	n.service.Apply([]members.Event{{ID: settings.UpstreamID(id), Kind: members.EventRemoved}})
}

// holdersOf counts the other routers that remember a stream, once that number no longer changes.
func (f *fleet) holdersOf(attempt call.ID, began *node) int {
	count := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		n := 0
		for _, other := range f.nodes {
			if _, ok := other.service.remembered(clock.Boot{}.Now(), origin.NewStreamID(attempt)); ok && other != began {
				n++
			}
		}
		return n
	}
	n := 0
	for range 100 {
		time.Sleep(20 * time.Millisecond)
		if n = count(); n >= 3 {
			break
		}
	}
	return n
}

func (n *node) find(attempt call.ID) (members.Version, origin.Verdict) {
	o, verdict := n.service.Find(context.Background(), &origin.Question{FirstAttempt: attempt, Service: "letters"})
	return o.Version, verdict
}

// TestStreamIsFoundAfterItsRouterEnded guards against a stream that nobody remembers once its router has ended. Nothing is sent as long as
// one version serves; the records follow as soon as a second one comes.
func TestStreamIsFoundAfterItsRouterEnded(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t}
	var nodes []*node
	for range 6 {
		nodes = append(nodes, f.start("", true))
	}
	for _, n := range nodes {
		n.list("a", "v1")
	}
	time.Sleep(3 * reviewInterval)
	nodes[0].service.Begin("early", origin.Origin{Service: "letters", Version: "v1"})
	time.Sleep(5 * flushInterval)
	c.Assert(f.holdersOf("early", nodes[0]), qt.Equals, 0)
	for _, n := range nodes {
		n.list("b", "v2")
	}
	c.Assert(f.holdersOf("early", nodes[0]), qt.Equals, 3)
	nodes[0].service.Begin("late", origin.Origin{Service: "letters", Version: "v2"})
	c.Assert(f.holdersOf("late", nodes[0]), qt.Equals, 3)
	nodes[0].stop()
	fresh := f.start("", false)
	fresh.list("a", "v1")
	fresh.list("b", "v2")
	for _, n := range append(nodes[1:], fresh) {
		version, verdict := n.find("early")
		c.Assert(verdict, qt.Equals, origin.Remembered)
		c.Assert(version, qt.Equals, members.Version("v1"))
		version, verdict = n.find("late")
		c.Assert(verdict, qt.Equals, origin.Remembered)
		c.Assert(version, qt.Equals, members.Version("v2"))
		_, verdict = n.find("never")
		c.Assert(verdict, qt.Equals, origin.Unknown)
	}
}

// TestStartedRouterWaitsForTheOthers guards against a router that refuses a client because it has not met the other routers yet.
func TestStartedRouterWaitsForTheOthers(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t}
	var nodes []*node
	for range 8 {
		n := f.start("", true)
		n.list("a", "v1")
		n.list("b", "v2")
		nodes = append(nodes, n)
	}
	time.Sleep(3 * reviewInterval)
	fresh := f.start("", false)
	fresh.blind.Store(true)
	fresh.list("a", "v1")
	fresh.list("b", "v2")
	time.Sleep(3 * reviewInterval)
	// Some of the streams are held by others only.
	var elsewhere call.ID
	for i := 0; elsewhere == ""; i++ {
		attempt := call.ID(fmt.Sprint("s", i))
		nodes[0].service.Begin(attempt, origin.Origin{Service: "letters", Version: "v2"})
		c.Assert(f.holdersOf(attempt, nodes[0]) >= 3, qt.IsTrue)
		if _, ok := fresh.service.remembered(clock.Boot{}.Now(), origin.NewStreamID(attempt)); !ok {
			elsewhere = attempt
		}
	}
	time.AfterFunc(2*askPause, func() { fresh.blind.Store(false) })
	version, verdict := fresh.find(elsewhere)
	c.Assert(verdict, qt.Equals, origin.Remembered)
	c.Assert(version, qt.Equals, members.Version("v2"))
}

// TestRestartedHolderGetsItsRecordsAgain guards against records that become fewer with each router that starts again.
func TestRestartedHolderGetsItsRecordsAgain(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t}
	var nodes []*node
	for range 4 {
		nodes = append(nodes, f.start("", true))
	}
	for _, n := range nodes {
		n.list("a", "v1")
		n.list("b", "v2")
	}
	time.Sleep(3 * reviewInterval)
	nodes[0].service.Begin("s", origin.Origin{Service: "letters", Version: "v1"})
	c.Assert(f.holdersOf("s", nodes[0]), qt.Equals, 3)
	for _, n := range nodes[1:] {
		n.stop()
		f.start(n.address, false)
		c.Assert(f.holdersOf("s", nodes[0]), qt.Equals, 3)
	}
}

// TestStartedRouterKnowsVersionsThatHaveLeft guards against a router that takes the only version which it finds for the one that began a
// stream, and against one that refuses all streams because it was not there before.
func TestStartedRouterKnowsVersionsThatHaveLeft(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t}
	old := f.start("", true)
	old.list("a", "v1")
	started := f.start("", false)
	started.list("a", "v1")
	time.Sleep(3 * reviewInterval)
	version, verdict := started.find("s")
	c.Assert(verdict, qt.Equals, origin.OnlyVersion)
	c.Assert(version, qt.Equals, members.Version("v1"))

	old.list("b", "v2")
	old.unlist("a")
	late := f.start("", false)
	late.list("b", "v2")
	time.Sleep(3 * reviewInterval)
	_, verdict = late.find("s")
	c.Assert(verdict, qt.Equals, origin.Unknown)
	// It knows by itself once the others are gone.
	old.stop()
	started.stop()
	_, verdict = late.find("s")
	c.Assert(verdict, qt.Equals, origin.Unknown)
}

// TestCutOffRouterMixesVersions guards against a router that takes the only version that it knows for the one that began a stream, while
// another version has joined beyond the cut.
func TestCutOffRouterMixesVersions(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t}
	nodes := f.startServing(4, true)
	cut, others := nodes[0], nodes[1:]
	cut.cut.Store(true)
	time.Sleep(3 * reviewInterval)
	for _, n := range others {
		n.list("b", "v2")
	}
	others[0].service.Begin("s", origin.Origin{Service: "letters", Version: "v2"})
	_, verdict := cut.find("s")
	c.Assert(verdict, qt.Equals, origin.Unknown)
	// The directory names the other version.
	cut.refreshed = func() { cut.list("b", "v2") }
	_, verdict = cut.find("s")
	c.Assert(verdict, qt.Equals, origin.Unknown)
}

// TestReachableRouterRefusesStreamsOfTheOnlyVersion guards against streams that are refused although no other version can have begun them.
func TestReachableRouterRefusesStreamsOfTheOnlyVersion(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t}
	nodes := f.startServing(4, true)
	_, verdict := nodes[0].find("s")
	c.Assert(verdict, qt.Equals, origin.OnlyVersion)
	nodes[0].cut.Store(true)
	time.Sleep(3 * reviewInterval)
	nodes[0].refreshed = func() {}
	_, verdict = nodes[0].find("s")
	c.Assert(verdict, qt.Equals, origin.OnlyVersion)
}

// TestStreamOfLostVersionGoesOnAtAnother guards against a router that takes the only version in the directory for the one that began a
// stream, after all routers and the only instance of another version were lost.
func TestStreamOfLostVersionGoesOnAtAnother(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t}
	n := f.start("", false)
	n.refreshed = func() {}
	index := &affinity.Index{}
	n.service.Caches = index
	old := members.Instance{ID: "a", Service: "letters", Version: "v1", Incarnation: 1}
	n.service.Apply([]members.Event{{ID: old.ID, Kind: members.EventAdded, Instance: old}})
	n.service.Demand = func(settings.ServiceName, clock.Instant) {
		index.RecordListing(clock.Boot{}.Now(), []call.PromptBlock{{ID: 7, Tokens: 90}}, old)
	}
	find := func(own call.PromptBlock) (members.Version, origin.Verdict) {
		o, verdict := n.service.Find(context.Background(), &origin.Question{FirstAttempt: "s", Service: "letters", Own: own})
		return o.Version, verdict
	}
	_, verdict := find(call.PromptBlock{})
	c.Assert(verdict, qt.Equals, origin.Unknown)
	_, verdict = find(call.PromptBlock{ID: 9, Tokens: 50})
	c.Assert(verdict, qt.Equals, origin.Unknown)
	version, verdict := find(call.PromptBlock{ID: 7, Tokens: 50})
	c.Assert(verdict, qt.Equals, origin.Cached)
	c.Assert(version, qt.Equals, members.Version("v1"))
}

// TestStreamIsPlacedByItsPromptAfterAllRecordsAreLost covers the loss of all routers while two versions serve.
func TestStreamIsPlacedByItsPromptAfterAllRecordsAreLost(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t}
	n := f.start("", false)
	n.refreshed = func() {}
	index := &affinity.Index{}
	n.service.Caches = index
	engine := func(id string, version members.Version, blocks ...call.PromptBlock) members.Instance {
		inst := members.Instance{ID: settings.UpstreamID(id), Service: "letters", Version: version, Incarnation: 1}
		n.service.Apply([]members.Event{{ID: inst.ID, Kind: members.EventAdded, Instance: inst}})
		index.RecordListing(clock.Boot{}.Now(), blocks, inst)
		return inst
	}
	own := call.PromptBlock{ID: 7, Tokens: 50}
	engine("a", "v1", call.PromptBlock{ID: 7, Tokens: 90})
	engine("b", "v2", call.PromptBlock{ID: 8, Tokens: 90})
	find := func(block call.PromptBlock) (members.Version, origin.Verdict) {
		o, verdict := n.service.Find(context.Background(), &origin.Question{FirstAttempt: "s", Service: "letters", Own: block})
		return o.Version, verdict
	}
	version, verdict := find(own)
	c.Assert(verdict, qt.Equals, origin.Cached)
	c.Assert(version, qt.Equals, members.Version("v1"))
	version, ok := n.service.CachedAt("letters", own)
	c.Assert(ok, qt.IsTrue)
	c.Assert(version, qt.Equals, members.Version("v1"))
	for _, block := range []call.PromptBlock{{}, {ID: 9, Tokens: 50}} {
		_, verdict = find(block)
		c.Assert(verdict, qt.Equals, origin.Unknown)
		_, ok = n.service.CachedAt("letters", block)
		c.Assert(ok, qt.IsFalse)
	}
	// An instance of the other version that was there before and has not listed its cache.
	unread := members.Instance{ID: "c", Service: "letters", Version: "v2", Incarnation: 2}
	n.service.Apply([]members.Event{{ID: "c", Kind: members.EventAdded, Instance: unread}})
	start := time.Now()
	_, verdict = find(own)
	c.Assert(verdict, qt.Equals, origin.Unknown)
	c.Assert(time.Since(start) >= cachesTimeout, qt.IsTrue)
	// The next stream does not wait for a list that has not come.
	start = time.Now()
	_, verdict = find(own)
	c.Assert(verdict, qt.Equals, origin.Unknown)
	c.Assert(time.Since(start) < cachesTimeout/2, qt.IsTrue)
	// Its list comes on demand.
	n.service.mu.Lock()
	n.service.demandedAt = nil
	n.service.mu.Unlock()
	demanded := 0
	n.service.Demand = func(name settings.ServiceName, _ clock.Instant) {
		demanded++
		c.Check(name, qt.Equals, settings.ServiceName("letters"))
		time.AfterFunc(2*askPause, func() { index.RecordListing(clock.Boot{}.Now(), nil, unread) })
	}
	_, verdict = find(own)
	c.Assert(verdict, qt.Equals, origin.Cached)
	c.Assert(demanded, qt.Equals, 1)
	_, verdict = find(call.PromptBlock{ID: 9, Tokens: 50})
	c.Assert(verdict, qt.Equals, origin.Unknown)
	c.Assert(demanded, qt.Equals, 1, qt.Commentf("all lists are there"))
	// Another instance of that version cannot be read. Streams go on where a list shows that tokens have been generated.
	failing := members.Instance{ID: "e", Service: "letters", Version: "v2", Incarnation: 3}
	n.service.Apply([]members.Event{{ID: "e", Kind: members.EventAdded, Instance: failing}})
	index.RecordFailedRead(clock.Boot{}.Now(), failing)
	version, verdict = find(own)
	c.Assert(verdict, qt.Equals, origin.Cached)
	c.Assert(version, qt.Equals, members.Version("v1"))
	for _, block := range []call.PromptBlock{{ID: 7, Tokens: 90}, {ID: 9, Tokens: 50}} {
		_, verdict = find(block)
		c.Assert(verdict, qt.Equals, origin.Unknown)
	}
	// The engine of the other version that had the prompt too has left.
	d := engine("d", "v2", call.PromptBlock{ID: 7, Tokens: 50})
	index.Forget(d.ID)
	n.service.Apply([]members.Event{{ID: "d", Kind: members.EventRemoved}})
	_, verdict = find(own)
	c.Assert(verdict, qt.Equals, origin.Unknown)
	_, ok = n.service.CachedAt("letters", own)
	c.Assert(ok, qt.IsFalse)
}

// TestOnlyRouterThatKnowsStreamIsLost guards against streams whose origin is in the memory of one router, while the others cannot conclude
// that one version alone has served.
func TestOnlyRouterThatKnowsStreamIsLost(t *testing.T) {
	v1 := origin.Origin{Service: "letters", Version: "v1"}
	// remember checks that three others hold a stream, and that it is found once the router that began it has ended.
	remember := func(c *qt.C, f *fleet, nodes []*node, attempt call.ID) {
		c.Assert(f.holdersOf(attempt, nodes[0]), qt.Equals, 3)
		nodes[0].stop()
		for _, n := range nodes[1:] {
			version, verdict := n.find(attempt)
			c.Check(verdict, qt.Equals, origin.Remembered)
			c.Check(version, qt.Equals, v1.Version)
		}
	}
	t.Run("after the loss of all routers", func(t *testing.T) {
		c := qt.New(t)
		f := &fleet{t: t}
		nodes := f.startServing(6, false)
		nodes[0].service.Begin("s", v1)
		remember(c, f, nodes, "s")
	})
	t.Run("while the directory is out of date", func(t *testing.T) {
		c := qt.New(t)
		f := &fleet{t: t}
		nodes := f.startServing(6, true)
		nodes[0].service.Begin("s", v1)
		time.Sleep(5 * flushInterval)
		c.Assert(f.holdersOf("s", nodes[0]), qt.Equals, 0)
		time.Sleep(origin.MaxDirectoryAge)
		for _, n := range nodes {
			n.directoryAge.Store(int64(origin.MaxDirectoryAge + time.Millisecond))
		}
		time.Sleep(3 * reviewInterval)
		remember(c, f, nodes, "s")
	})
	t.Run("after a gap", func(t *testing.T) {
		c := qt.New(t)
		f := &fleet{t: t}
		nodes := f.startServing(6, true)
		nodes[0].service.Begin("s", v1)
		// News cannot be older than the fleet.
		time.Sleep(origin.MaxDirectoryAge)
		for _, n := range nodes {
			n.directoryAge.Store(int64(time.Minute))
			n.cut.Store(true)
		}
		time.Sleep(3 * reviewInterval)
		for _, n := range nodes {
			n.directoryAge.Store(0)
			n.cut.Store(false)
		}
		time.Sleep(3 * reviewInterval)
		remember(c, f, nodes, "s")
	})
}

// TestFirstReadOfFleetIsTakenForGap guards against a fleet that refuses streams, or sends their origins around, for its first minute, because
// it takes the time before its routers have read the directory for one in which versions may have come and gone.
func TestFirstReadOfFleetIsTakenForGap(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t, unread: true}
	nodes := f.startServing(6, true)
	for _, n := range nodes {
		n.directoryAge.Store(0)
		n.cut.Store(false)
	}
	time.Sleep(3 * reviewInterval)
	nodes[0].service.Begin("s", origin.Origin{Service: "letters", Version: "v1"})
	time.Sleep(5 * flushInterval)
	c.Check(f.holdersOf("s", nodes[0]), qt.Equals, 0)
	nodes[0].stop()
	// A router that asks before it has noticed the loss reads the directory, which cannot be read here.
	time.Sleep(3 * reviewInterval)
	for _, n := range nodes[1:] {
		version, verdict := n.find("s")
		c.Check(verdict, qt.Equals, origin.OnlyVersion)
		c.Check(version, qt.Equals, members.Version("v1"))
	}
}

// TestRouterOutOfReachSinceFleetStartKnowsAllVersions guards against a router that takes its history for complete, though it has neither read
// the directory nor met the others for so long that a version may have come and gone.
func TestRouterOutOfReachSinceFleetStartKnowsAllVersions(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t, unread: true}
	n := f.start("", true)
	time.Sleep(origin.MaxDirectoryAge + 3*reviewInterval)
	n.directoryAge.Store(0)
	n.cut.Store(false)
	n.refreshed = func() { n.list("a", "v2") }
	_, verdict := n.find("s")
	c.Assert(verdict, qt.Equals, origin.Unknown)
}

// TestListOlderThanLossTellsNothing guards against streams of lost routers that are refused because their engines listed their caches before
// the streams began, and against a list that rules out another version although it is older than the stream.
func TestListOlderThanLossTellsNothing(t *testing.T) {
	own := call.PromptBlock{ID: 7, Tokens: 50}
	// start returns a router that has outlived others, with an engine of each version, whose caches it read before the others were lost.
	start := func(t *testing.T, versions ...members.Version) (*node, *affinity.Index, []members.Instance) {
		f := &fleet{t: t}
		n := f.start("", false)
		n.refreshed = func() {}
		index := &affinity.Index{}
		n.service.Caches = index
		var engines []members.Instance
		for i, v := range versions {
			inst := members.Instance{ID: settings.UpstreamID(fmt.Sprint("i", i)), Service: "letters", Version: v, Incarnation: 1}
			n.service.Apply([]members.Event{{ID: inst.ID, Kind: members.EventAdded, Instance: inst}})
			index.RecordListing(clock.Boot{}.Now(), nil, inst)
			engines = append(engines, inst)
		}
		time.Sleep(recentList)
		return n, index, engines
	}
	find := func(n *node) (members.Version, origin.Verdict) {
		o, verdict := n.service.Find(context.Background(), &origin.Question{FirstAttempt: "s", Service: "letters", Own: own})
		return o.Version, verdict
	}
	t.Run("the stream began after the list", func(t *testing.T) {
		c := qt.New(t)
		n, index, engines := start(t, "v1")
		_, verdict := find(n)
		c.Assert(verdict, qt.Equals, origin.Unknown)
		lost := clock.Boot{}.Now()
		n.lostAt.Store(int64(lost))
		demanded := 0
		n.service.Demand = func(_ settings.ServiceName, after clock.Instant) {
			demanded++
			c.Check(after <= lost && lost.Sub(after) <= recentList, qt.IsTrue)
			index.RecordListing(clock.Boot{}.Now(), []call.PromptBlock{{ID: own.ID, Tokens: 90}}, engines[0])
		}
		version, verdict := find(n)
		c.Assert(verdict, qt.Equals, origin.Cached)
		c.Assert(version, qt.Equals, members.Version("v1"))
		c.Assert(demanded, qt.Equals, 1)
	})
	t.Run("the list of another version is older", func(t *testing.T) {
		c := qt.New(t)
		n, index, engines := start(t, "v1", "v2")
		n.lostAt.Store(int64(clock.Boot{}.Now()))
		index.RecordListing(clock.Boot{}.Now(), []call.PromptBlock{{ID: own.ID, Tokens: 90}}, engines[0])
		n.service.Demand = func(settings.ServiceName, clock.Instant) {
			index.RecordListing(clock.Boot{}.Now(), []call.PromptBlock{{ID: own.ID, Tokens: 90}}, engines[1])
		}
		_, verdict := find(n)
		c.Assert(verdict, qt.Equals, origin.Unknown)
	})
	t.Run("the other version's cache could not be read before", func(t *testing.T) {
		c := qt.New(t)
		n, index, engines := start(t, "v1", "v2")
		index.RecordFailedRead(clock.Boot{}.Now(), engines[1])
		time.Sleep(recentList)
		n.lostAt.Store(int64(clock.Boot{}.Now()))
		index.RecordListing(clock.Boot{}.Now(), []call.PromptBlock{{ID: own.ID, Tokens: 90}}, engines[0])
		_, verdict := find(n)
		c.Assert(verdict, qt.Equals, origin.Unknown)
		index.RecordFailedRead(clock.Boot{}.Now(), engines[1])
		version, verdict := find(n)
		c.Assert(verdict, qt.Equals, origin.Cached)
		c.Assert(version, qt.Equals, members.Version("v1"))
	})
	t.Run("routers are lost again and again", func(t *testing.T) {
		c := qt.New(t)
		n, _, _ := start(t, "v1")
		var demanded atomic.Int64
		n.service.Demand = func(settings.ServiceName, clock.Instant) { demanded.Add(1) }
		began := time.Now()
		for time.Since(began) < 2*cachesTimeout {
			n.lostAt.Store(int64(clock.Boot{}.Now()))
			_, verdict := find(n)
			c.Assert(verdict, qt.Equals, origin.Unknown)
		}
		c.Assert(demanded.Load() <= 1+int64(time.Since(began)/cachesTimeout), qt.IsTrue, qt.Commentf("%d demands", demanded.Load()))
	})
	t.Run("routers notice a loss at different times", func(t *testing.T) {
		c := qt.New(t)
		n, index, engines := start(t, "v1", "v2")
		index.RecordListing(clock.Boot{}.Now(), []call.PromptBlock{{ID: own.ID, Tokens: 90}}, engines[0])
		index.RecordListing(clock.Boot{}.Now(), nil, engines[1])
		n.lostAt.Store(int64(clock.Boot{}.Now()))
		var demanded atomic.Int64
		n.service.Demand = func(settings.ServiceName, clock.Instant) { demanded.Add(1) }
		// Another router has noticed the loss before this one, and has read the caches since.
		version, verdict := find(n)
		c.Assert(verdict, qt.Equals, origin.Cached)
		c.Assert(version, qt.Equals, members.Version("v1"))
		c.Assert(demanded.Load(), qt.Equals, int64(0))
	})
}
