package crashes

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/quarantine"
	"rattantrack.dev/core/settings"
)

// fleet is a set of routers on loopback that know each other.
type fleet struct {
	t     *testing.T
	mu    sync.Mutex
	nodes map[string]*node
	// requests is the number of requests for all evidence by the router that sent them.
	requests map[inflight.RouterID]int
}

// node is one router of a fleet.
type node struct {
	fleet   *fleet
	address string
	service *Service
	stop    func()
}

// CrashRouters returns the other routers that run.
func (n *node) CrashRouters() (list []Router) {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	for address := range n.fleet.nodes {
		if address != n.address {
			list = append(list, Router{Address: address, Incarnation: "1"})
		}
	}
	return list
}

func (n *node) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	if e, ok := m.(*peer.CrashEvidence); ok && e.WantsAll {
		n.fleet.mu.Lock()
		if n.fleet.requests == nil {
			n.fleet.requests = make(map[inflight.RouterID]int)
		}
		n.fleet.requests[e.Router]++
		n.fleet.mu.Unlock()
	}
	n.service.Serve(ctx, st, m)
}

// TestStartedRouterAsksFewOthers guards against a router that, once started, opens links to all others of a large fleet at once.
func TestStartedRouterAsksFewOthers(t *testing.T) {
	f := &fleet{t: t}
	for range 20 {
		f.start()
	}
	started := f.start()
	time.Sleep(2 * minInterval)
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, f.requests[started.service.ID], qt.Equals, sources)
}

// start starts a router that the others know at once.
func (f *fleet) start() *node {
	c := qt.New(f.t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	allow, err := peer.ParseNetworks([]string{"127.0.0.0/8"})
	c.Assert(err, qt.IsNil)
	n := &node{fleet: f, address: ln.Addr().String()}
	endpoint := &peer.Endpoint{
		LocalHello: func() peer.Hello {
			return peer.Hello{Protocol: peer.ProtocolVersion, Role: peer.RoleRouter, ID: n.address}
		},
		Handler: n, Allow: allow,
	}
	n.service = &Service{
		ID: inflight.RouterID(n.address), Routers: n, Dialer: endpoint, Quarantine: &quarantine.Tracker{}, Clock: clock.Boot{},
		Log: log.New(io.Discard), Scope: tally.NoopScope,
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = n.service.Run(ctx, func() {}) })
	wg.Go(func() { _ = endpoint.Listen(ctx, ln) })
	f.mu.Lock()
	if f.nodes == nil {
		f.nodes = make(map[string]*node)
	}
	f.nodes[n.address] = n
	f.mu.Unlock()
	n.stop = sync.OnceFunc(func() {
		f.mu.Lock()
		delete(f.nodes, n.address)
		f.mu.Unlock()
		cancel()
		endpoint.Close()
		wg.Wait()
	})
	f.t.Cleanup(n.stop)
	return n
}

var badPrompt = quarantine.Request{Blocks: []call.PromptBlock{{ID: 1}, {ID: 0xbad}}}

// crash records a crash under the bad prompt at one router.
func (n *node) crash(i int) {
	inst := members.Instance{ID: settings.UpstreamID(fmt.Sprintf("e%d", i))}
	n.service.Quarantine.RecordCrash(clock.Boot{}.Now(), inst, badPrompt, quarantine.Strong)
}

// quarantines waits until a router quarantines the bad prompt.
func (n *node) quarantines() bool {
	for range 500 {
		if _, _, quarantined := n.service.Quarantine.Quarantined(clock.Boot{}.Now(), badPrompt); quarantined {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// TestEachRouterSeesOneCrash guards against evidence that stays at the router that saw it: no router sees more than one of three
// crashes, and one of them ends before another router starts.
func TestEachRouterSeesOneCrash(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t}
	var nodes []*node
	for range 5 {
		nodes = append(nodes, f.start())
	}
	for i := range 3 {
		nodes[i].crash(i)
		time.Sleep(150 * time.Millisecond)
	}
	for _, n := range nodes {
		c.Assert(n.quarantines(), qt.IsTrue)
	}
	nodes[0].stop()
	c.Assert(f.start().quarantines(), qt.IsTrue)
}

// TestEvidenceArrivesAfterFailedExchanges guards against evidence that is lost with the exchange that carried it.
func TestEvidenceArrivesAfterFailedExchanges(t *testing.T) {
	c := qt.New(t)
	f := &fleet{t: t}
	first := f.start()
	// Nothing listens at the address at first.
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Assert(ln.Close(), qt.IsNil)
	f.mu.Lock()
	f.nodes[ln.Addr().String()] = nil
	f.mu.Unlock()
	for i := range 3 {
		first.crash(i)
		time.Sleep(150 * time.Millisecond)
	}
	second := f.start()
	c.Assert(second.quarantines(), qt.IsTrue)
	first.service.mu.Lock()
	defer first.service.mu.Unlock()
	c.Assert(first.service.partners[ln.Addr().String()].sent, qt.Equals, quarantine.Change(0))
}
