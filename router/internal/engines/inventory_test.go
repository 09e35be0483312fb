package engines

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/warmup"
)

// fakeAsker counts the questions to each engine.
type fakeAsker struct {
	mu    sync.Mutex
	asked map[settings.UpstreamID]int
	err   error
}

func (a *fakeAsker) CachedBlocks(_ context.Context, i members.Instance) ([]call.PromptBlock, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked[i.ID]++
	return []call.PromptBlock{{ID: 7, Tokens: 100}}, a.err
}

// fakeRouters is what one router knows of the others.
type fakeRouters struct {
	met   []string
	warm  bool
	asked map[settings.UpstreamID]bool
}

func (r *fakeRouters) Reachable() []string                              { return r.met }
func (r *fakeRouters) CacheEntriesReceived() bool                       { return r.warm }
func (r *fakeRouters) CacheQueriedByOthers(id settings.UpstreamID) bool { return r.asked[id] }

func newInventory(address string, asker CacheReader, routers *fakeRouters) *Warmup {
	book := &members.Registry{}
	var list []members.Change
	for _, id := range []settings.UpstreamID{"e1", "e2", "e3", "e4", "e5", "e6"} {
		list = append(list, members.Change{ID: id, Revision: 1, Instance: members.Instance{ID: id, Service: "letters"}})
	}
	book.Replace(1, 1, list)
	return &Warmup{
		Address: address, Seeds: []string{"a", "b", "c"}, Cache: asker, Routers: routers, Members: book, Affinity: &affinity.Index{}, Clock: clock.Boot{},
		Services: func() []settings.ServiceName { return []settings.ServiceName{"letters"} },
		Log:      log.New(io.Discard), Scope: tally.NoopScope,
	}
}

// askAll lets a router ask the engines that fall to it at a time after its start, and waits for the answers; it reports
// whether every engine has been asked.
func askAll(v *Warmup, elapsed time.Duration) bool {
	var wg sync.WaitGroup
	all := v.ask(context.Background(), elapsed, make(chan struct{}, maxAsking), &wg)
	wg.Wait()
	return all
}

// TestEachEngineIsAskedOnce replays a fleet that starts at once while no router knows another one: the routers that the
// settings name divide the engines among them.
func TestEachEngineIsAskedOnce(t *testing.T) {
	c := qt.New(t)
	asker := &fakeAsker{asked: make(map[settings.UpstreamID]int)}
	for _, address := range []string{"a", "b", "c", "d", "e"} {
		askAll(newInventory(address, asker, &fakeRouters{}), 0)
	}
	c.Assert(asker.asked, qt.HasLen, 6)
	for id, n := range asker.asked {
		c.Assert(n, qt.Equals, 1, qt.Commentf("engine %s", id))
	}
}

// TestLaterRouterAsksOnlyTheRest replays a router that takes over while others have asked some engines already.
func TestLaterRouterAsksOnlyTheRest(t *testing.T) {
	c := qt.New(t)
	asker := &fakeAsker{asked: make(map[settings.UpstreamID]int)}
	asked := map[settings.UpstreamID]bool{"e1": true, "e2": true, "e3": true, "e4": true}
	later := newInventory("a", asker, &fakeRouters{asked: asked})
	c.Assert(askAll(later, warmup.TakeoverDelay), qt.IsFalse)
	c.Assert(later.Queried(), qt.HasLen, 2)
	c.Assert(askAll(later, warmup.TakeoverDelay), qt.IsTrue)
	c.Assert(asker.asked, qt.HasLen, 2)
}

// TestEngineThatDoesNotAnswerIsAskedOnce replays an engine that is down while the routers start.
func TestEngineThatDoesNotAnswerIsAskedOnce(t *testing.T) {
	c := qt.New(t)
	asker := &fakeAsker{asked: make(map[settings.UpstreamID]int), err: errors.New("down")}
	v := newInventory("a", asker, &fakeRouters{})
	askAll(v, warmup.TakeoverDelay)
	c.Assert(askAll(v, warmup.TakeoverDelay), qt.IsTrue)
	for id, n := range asker.asked {
		c.Assert(n, qt.Equals, 1, qt.Commentf("engine %s", id))
	}
}

func TestRouterThatLearntFromAnotherAsksNobody(t *testing.T) {
	c := qt.New(t)
	asker := &fakeAsker{asked: make(map[settings.UpstreamID]int)}
	newInventory("a", asker, &fakeRouters{warm: true}).recover(context.Background())
	c.Assert(asker.asked, qt.HasLen, 0)
}
