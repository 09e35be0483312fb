package gossip

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

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// node is one process's part in spreading, with a switch that cuts it off.
type node struct {
	store    *revision.Store
	endpoint *peer.Endpoint
	service  *Service
	address  string

	mu  sync.Mutex
	cut map[string]bool
}

// Serve gives messages to the spread service.
func (n *node) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	n.service.Serve(ctx, st, m)
}

// Dial fails towards addresses that are cut off.
func (n *node) Dial(ctx context.Context, address string) (*peer.Link, error) {
	if n.isCut(address) {
		return nil, &net.AddrError{Err: "cut off", Addr: address}
	}
	l, err := n.endpoint.Dial(ctx, address)
	if err == nil && n.isCut(address) {
		// The cut came while the link was being made.
		err = &net.AddrError{Err: "cut off", Addr: address}
		l.Close(err)
	}
	return l, err
}

func (n *node) isCut(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[address]
}

// startNodes starts n nodes that know each other; only the first has a version.
func startNodes(t *testing.T, n int) []*node {
	t.Helper()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var nodes []*node
	t.Cleanup(func() {
		cancel()
		for _, one := range nodes {
			one.endpoint.Close()
		}
		wg.Wait()
	})
	allow, err := peer.ParseNetworks(settings.DefaultAllow)
	c.Assert(err, qt.IsNil)
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		one := &node{store: &revision.Store{}, address: ln.Addr().String(), cut: make(map[string]bool)}
		one.endpoint = &peer.Endpoint{Handler: one, Allow: allow, Local: func() peer.Hello {
			return peer.Hello{Protocol: peer.ProtocolVersion, ID: fmt.Sprint(i)}
		}}
		one.service = &Service{Store: one.store, Dialer: one, Log: log.New(io.Discard), Candidates: func() []string {
			var list []string
			for _, other := range nodes {
				if other != one {
					list = append(list, other.address)
				}
			}
			return list
		}}
		nodes = append(nodes, one)
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = one.endpoint.Listen(ctx, ln)
		}()
	}
	_, err = nodes[0].store.Offer(revision.Delta{To: revision.Version{Revision: 1}})
	c.Assert(err, qt.IsNil)
	for _, one := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = one.service.Run(ctx, func() {})
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

// inForce waits until a revision is in force at the nodes.
func inForce(t *testing.T, r settings.Revision, nodes ...*node) {
	t.Helper()
	begun := time.Now()
	for _, one := range nodes {
		for {
			v, _ := one.store.Current()
			if v.Revision >= r {
				break
			}
			if time.Since(begun) > 10*time.Second {
				t.Fatalf("%s has revision %d, want %d", one.address, v.Revision, r)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func TestVersionReachesEveryNode(t *testing.T) {
	nodes := startNodes(t, 40)
	inForce(t, 1, nodes...)
	for r := settings.Revision(2); r < 8; r++ {
		offer(t, nodes[int(r)], r)
		inForce(t, r, nodes...)
	}
}

func TestNodesCutOffKeepTheirVersionAndCatchUpWhenThePartitionHeals(t *testing.T) {
	c := qt.New(t)
	nodes := startNodes(t, 12)
	inForce(t, 1, nodes...)
	left, right := nodes[:6], nodes[6:]
	setCut(left, right, true)
	offer(t, left[0], 2)
	inForce(t, 2, left...)
	offer(t, left[1], 3)
	inForce(t, 3, left...)
	for _, one := range right {
		v, _ := one.store.Current()
		c.Assert(v.Revision, qt.Equals, settings.Revision(1))
	}
	setCut(left, right, false)
	inForce(t, 3, nodes...)
	for _, one := range nodes {
		_, fleet := one.store.Current()
		c.Assert(fleet.Teams["a"].Share, qt.Equals, 3)
	}
}

// setCut cuts or mends every way between two groups, ending the links between them.
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
