package directory

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/directory"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/polling"
	"rattantrack.dev/core/revision"
)

// quietSource is a directory in which nothing changes. Its watches last as long as they may.
type quietSource struct {
	mu             sync.Mutex
	reads, watches int
	err            error
}

func (s *quietSource) Read(context.Context) (*directory.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return &directory.Update{Position: directory.Position{Number: 7}, Complete: true}, s.err
}

func (s *quietSource) Watch(ctx context.Context, after directory.Position, wait time.Duration) (*directory.Update, error) {
	s.mu.Lock()
	s.watches++
	err := s.err
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if !clock.Sleep(ctx, wait) {
		return nil, ctx.Err()
	}
	return &directory.Update{Position: after}, nil
}

func (s *quietSource) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads + s.watches
}

func (s *quietSource) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// fewRouters are the other routers, one of which reads the directory if polled is set.
type fewRouters struct {
	polled bool
}

func (r fewRouters) Pollers() []polling.Candidate {
	if r.polled {
		return []polling.Candidate{{Address: "a", Cores: 8}}
	}
	return nil
}

func (r fewRouters) LastDirectoryRead() clock.Instant {
	if r.polled {
		return clock.Boot{}.Now()
	}
	return 0
}

// TestRefreshWaitsForTheNextPoll guards against a read that others have to wait for until a watch or a pause ends.
func TestRefreshWaitsForTheNextPoll(t *testing.T) {
	for name, routers := range map[string]fewRouters{"polls itself": {}, "another router polls": {polled: true}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			source := &quietSource{}
			w := &Watcher{
				Self: polling.Candidate{Address: "self", Cores: 1}, Routers: routers, Source: source, Store: &revision.Store{},
				Members: &members.Registry{}, Evacuations: &evacuation.Tracker{}, Clock: clock.Boot{}, Log: log.New(io.Discard),
				Scope: tally.NoopScope, OnEvents: func(string, []members.Event) {}, Broadcast: func([]members.Change) {},
				OnEvacuations: func(string, []evacuation.Change) {},
			}
			ctx, cancel := context.WithCancel(context.Background())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = w.Run(ctx, func() {})
			}()
			defer func() { cancel(); <-stopped }()
			time.Sleep(2 * selectionInterval)
			for range 3 {
				before, start := source.calls(), time.Now()
				c.Assert(w.Refresh(ctx), qt.IsNil)
				c.Assert(time.Since(start) < watchWait/2, qt.IsTrue)
				c.Assert(source.calls() > before, qt.IsTrue)
				time.Sleep(watchPause / 3)
			}
			source.fail(&directory.StatusError{Status: 503})
			c.Assert(w.Refresh(ctx), qt.ErrorMatches, ".*503")
		})
	}
}
