package operator

import (
	"context"
	"sync/atomic"

	"github.com/charmbracelet/log"
)

// Announcer logs that all services before it have started, and later that the process is stopping.
type Announcer struct {
	Log     *log.Logger
	Message string

	started atomic.Bool
}

// Started reports whether all services before this one have started.
func (a *Announcer) Started() bool { return a.started.Load() }

// String returns the service's name.
func (a *Announcer) String() string { return "announcer" }

// Run logs Message, waits until ctx ends and logs the stop.
func (a *Announcer) Run(ctx context.Context, ready func()) error {
	ready()
	a.started.Store(true)
	a.Log.Info(a.Message)
	<-ctx.Done()
	a.Log.Info("stopping")
	return nil
}
