package gossip

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// node is one process in the gossip, which can be cut off from others.
type node struct {
	store    *revision.Store
	endpoint *peer.Endpoint
	service  *Service
	address  string

	mu  sync.Mutex
	cut map[string]bool
	// lostAt is the Unix time in nanoseconds at which the node has lost power, 0 while it runs. Whoever dials it waits in vain.
	lostAt atomic.Int64
	// others are all nodes by their addresses, nil until nodes can be lost.
	others map[string]*node
}

// dialTimeout is how long a dial of a lost node takes, detectTime how long it stays a candidate.
const (
	dialTimeout = 250 * time.Millisecond
	detectTime  = time.Second
)

func (n *node) isLost() bool { return n.lostAt.Load() != 0 }

// knownLost reports that the other nodes know that the node is lost.
func (n *node) knownLost() bool {
	at := n.lostAt.Load()
	return at != 0 && time.Since(time.Unix(0, at)) > detectTime
}

// Serve passes messages to the gossip service.
func (n *node) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	n.service.Serve(ctx, st, m)
}

// Dial fails for addresses that are cut off.
func (n *node) Dial(ctx context.Context, address string) (*peer.Link, error) {
	if n.isCut(address) {
		return nil, &net.AddrError{Err: "cut off", Addr: address}
	}
	if n.unreachable(address) {
		clock.Sleep(ctx, dialTimeout)
		return nil, &net.AddrError{Err: "no answer", Addr: address}
	}
	link, err := n.endpoint.Dial(ctx, address)
	if err == nil && n.isCut(address) {
		// The address was cut off while the link was being made.
		err = &net.AddrError{Err: "cut off", Addr: address}
		link.Close(err)
	}
	return link, err
}

// unreachable reports whether the node, or the one at an address, is lost.
func (n *node) unreachable(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	other := n.others[address]
	return n.isLost() || other != nil && other.isLost()
}

func (n *node) isCut(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[address]
}

// startNodes starts n nodes that are candidates for each other; only the first has a version.
func startNodes(t *testing.T, n int) []*node {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var nodes []*node
	t.Cleanup(func() {
		cancel()
		for _, n := range nodes {
			n.endpoint.Close()
		}
		wg.Wait()
	})
	allow, err := peer.ParseNetworks(settings.DefaultAllow)
	c.Assert(err, qt.IsNil)
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		self := &node{store: &revision.Store{}, address: ln.Addr().String(), cut: make(map[string]bool)}
		self.endpoint = &peer.Endpoint{Handler: self, Allow: allow, LocalHello: func() peer.Hello {
			return peer.Hello{Protocol: peer.ProtocolVersion, ID: fmt.Sprint(i)}
		}}
		self.service = &Service{Store: self.store, Dialer: self, Log: log.New(io.Discard), Candidates: func() []string {
			var list []string
			for _, other := range nodes {
				if other != self && !other.knownLost() {
					list = append(list, other.address)
				}
			}
			return list
		}}
		nodes = append(nodes, self)
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = self.endpoint.Listen(ctx, ln)
		}()
	}
	_, err = nodes[0].store.Offer(revision.Delta{To: revision.Version{Revision: 1}})
	c.Assert(err, qt.IsNil)
	for _, n := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = n.service.Run(ctx, func() {})
		}()
	}
	return nodes
}

func offer(t *testing.T, n *node, r settings.Revision) {
	t.Helper()
	have, _ := n.store.Current()
	got := n.service.Offer(revision.Delta{From: have.Revision, To: revision.Version{Revision: r}, Documents: []settings.Document{
		{Key: "teams/a", Value: fmt.Sprintf("share: %d", r), Revision: r},
	}})
	qt.Assert(t, got, qt.Equals, revision.Accepted)
}

// waitInForce waits until a revision is in force at the nodes.
func waitInForce(t *testing.T, r settings.Revision, nodes ...*node) {
	t.Helper()
	start := time.Now()
	for _, n := range nodes {
		for {
			v, _ := n.store.Current()
			if v.Revision >= r {
				break
			}
			if time.Since(start) > 10*time.Second {
				t.Fatalf("%s has revision %d, want %d", n.address, v.Revision, r)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func TestVersionReachesEveryNode(t *testing.T) {
	nodes := startNodes(t, 40)
	waitInForce(t, 1, nodes...)
	for r := settings.Revision(2); r < 8; r++ {
		offer(t, nodes[int(r)], r)
		waitInForce(t, r, nodes...)
	}
}

func TestPartitionedNodesCatchUpAfterHealing(t *testing.T) {
	c := qt.New(t)
	nodes := startNodes(t, 12)
	waitInForce(t, 1, nodes...)
	left, right := nodes[:6], nodes[6:]
	setCut(left, right, true)
	offer(t, left[0], 2)
	waitInForce(t, 2, left...)
	offer(t, left[1], 3)
	waitInForce(t, 3, left...)
	for _, n := range right {
		v, _ := n.store.Current()
		c.Assert(v.Revision, qt.Equals, settings.Revision(1))
	}
	setCut(left, right, false)
	waitInForce(t, 3, nodes...)
	for _, n := range nodes {
		_, declarations := n.store.Current()
		c.Assert(declarations.Teams["a"].Share, qt.Equals, 3)
	}
}

// TestVersionMissesNodesWhileMostAreLost guards against nodes that keep an old version since those that would have told them are lost.
func TestVersionMissesNodesWhileMostAreLost(t *testing.T) {
	for _, lost := range []int{15, 21, 27} {
		t.Run(fmt.Sprintf("%d of 30", lost), func(t *testing.T) {
			nodes := startNodes(t, 30)
			waitInForce(t, 1, nodes...)
			byAddress := make(map[string]*node)
			for _, n := range nodes {
				byAddress[n.address] = n
			}
			for _, n := range nodes {
				n.mu.Lock()
				n.others = byAddress
				n.mu.Unlock()
			}
			// Which nodes compare with which others has become a matter of chance.
			time.Sleep(compareInterval)
			for r := settings.Revision(2); r < 6; r++ {
				nodes := slices.Clone(nodes)
				rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
				for i, n := range nodes {
					if i < lost {
						n.lostAt.Store(time.Now().UnixNano())
						n.endpoint.Close()
					}
				}
				live := nodes[lost:]
				start := time.Now()
				offer(t, live[0], r)
				waitInForce(t, r, live...)
				took := time.Since(start)
				for _, n := range nodes[:lost] {
					n.lostAt.Store(0)
				}
				waitInForce(t, r, nodes...)
				qt.Assert(t, took < 2*time.Second, qt.IsTrue, qt.Commentf("version %d in force after %v", r, took))
			}
		})
	}
}

// setCut cuts or restores all links between two groups and, for a cut, closes the links of all their nodes.
func setCut(a, b []*node, cut bool) {
	for _, x := range a {
		for _, y := range b {
			x.setCut(y.address, cut)
			y.setCut(x.address, cut)
		}
	}
	if !cut {
		return
	}
	for _, x := range append(append([]*node{}, a...), b...) {
		x.endpoint.Close()
	}
}

func (n *node) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// TestVersionThatCannotBePulledIsMissed guards against a node that keeps an old version although it has heard of a newer one.
func TestVersionThatCannotBePulledIsMissed(t *testing.T) {
	c := qt.New(t)
	nodes := startNodes(t, 1)
	waitInForce(t, 1, nodes...)
	behind := make(chan settings.Revision, 1)
	nodes[0].service.OnBehind = func(_ context.Context, theirs settings.Revision) { behind <- theirs }
	allow, err := peer.ParseNetworks(settings.DefaultAllow)
	c.Assert(err, qt.IsNil)
	// The other end announces a version and ends.
	other := &peer.Endpoint{Handler: silent{}, Allow: allow, LocalHello: func() peer.Hello {
		return peer.Hello{Protocol: peer.ProtocolVersion, ID: "other"}
	}}
	defer other.Close()
	link, err := other.Dial(context.Background(), nodes[0].address)
	c.Assert(err, qt.IsNil)
	c.Assert(peer.Notify(context.Background(), link, &peer.Announce{Version: revision.Version{Revision: 9}}), qt.IsNil)
	select {
	case theirs := <-behind:
		c.Assert(theirs, qt.Equals, settings.Revision(9))
	case <-time.After(2 * requestTimeout):
		t.Fatal("nothing reads the newer version")
	}
}

// silent responds to nothing.
type silent struct{}

func (silent) Serve(context.Context, *peer.Stream, peer.Message) {}
