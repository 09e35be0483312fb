package engines

import (
	"context"
	"io"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// fakeAsker counts the questions to each engine.
type fakeAsker struct {
	mu    sync.Mutex
	asked map[settings.UpstreamID]int
}

func (a *fakeAsker) Held(_ context.Context, i members.Instance) ([]call.Part, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked[i.ID]++
	return []call.Part{{ID: 7, Tokens: 100}}, nil
}

// fakeRouters is what one router knows of the others.
type fakeRouters struct {
	met   []string
	warm  bool
	asked map[settings.UpstreamID]bool
}

func (r *fakeRouters) Met() []string                                   { return r.met }
func (r *fakeRouters) MetWarm() bool                                   { return r.warm }
func (r *fakeRouters) InventoriedByOthers(id settings.UpstreamID) bool { return r.asked[id] }

func newInventory(address string, asker Asker, routers *fakeRouters) *Inventory {
	book := &members.Book{}
	var list []members.Change
	for _, id := range []settings.UpstreamID{"e1", "e2", "e3", "e4", "e5", "e6"} {
		list = append(list, members.Change{ID: id, Revision: 1, Instance: members.Instance{ID: id, Service: "letters"}})
	}
	book.Replace(1, 1, list)
	return &Inventory{
		Address: address, Asker: asker, Routers: routers, Members: book, Affinity: &affinity.Directory{}, Clock: clock.Boot{},
		Services: func() []settings.ServiceName { return []settings.ServiceName{"letters"} },
		Log:      log.New(io.Discard), Scope: tally.NoopScope,
	}
}

// TestEachEngineIsAskedOnce replays three routers that start at once and know each other.
func TestEachEngineIsAskedOnce(t *testing.T) {
	c := qt.New(t)
	asker := &fakeAsker{asked: make(map[settings.UpstreamID]int)}
	all := []string{"a", "b", "c"}
	for i, address := range all {
		others := append(append([]string(nil), all[:i]...), all[i+1:]...)
		newInventory(address, asker, &fakeRouters{met: others}).ask(context.Background())
	}
	c.Assert(asker.asked, qt.HasLen, 6)
	for id, n := range asker.asked {
		c.Assert(n, qt.Equals, 1, qt.Commentf("engine %s", id))
	}
}

// TestLaterRouterAsksOnlyTheRest replays a router that starts while another has asked some engines already.
func TestLaterRouterAsksOnlyTheRest(t *testing.T) {
	c := qt.New(t)
	asker := &fakeAsker{asked: make(map[settings.UpstreamID]int)}
	first := newInventory("a", asker, &fakeRouters{})
	first.ask(context.Background())
	asked := make(map[settings.UpstreamID]bool)
	for _, id := range first.Asked()[:4] {
		asked[id] = true
	}
	later := newInventory("b", asker, &fakeRouters{asked: asked})
	later.ask(context.Background())
	c.Assert(later.Asked(), qt.HasLen, 2)
}

func TestRouterThatMetAWarmOneAsksNobody(t *testing.T) {
	c := qt.New(t)
	asker := &fakeAsker{asked: make(map[settings.UpstreamID]int)}
	newInventory("a", asker, &fakeRouters{warm: true}).once(context.Background())
	c.Assert(asker.asked, qt.HasLen, 0)
}
