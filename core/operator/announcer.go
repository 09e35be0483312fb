package operator

import (
	"context"
	"sync/atomic"

	"github.com/charmbracelet/log"
)

// Announcer logs that every service before it has started, and that stopping begins.
type Announcer struct {
	Log     *log.Logger
	Message string

	started atomic.Bool
}

// Started reports whether every service before this one has started.
func (a *Announcer) Started() bool { return a.started.Load() }

// String returns the service's name.
func (a *Announcer) String() string { return "announcer" }

// Run logs and waits for ctx.
func (a *Announcer) Run(ctx context.Context, ready func()) error {
	ready()
	a.started.Store(true)
	a.Log.Info(a.Message)
	<-ctx.Done()
	a.Log.Info("stopping")
	return nil
}
