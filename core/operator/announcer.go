package operator

import (
	"context"

	"github.com/charmbracelet/log"
)

// Announcer logs that every service before it has started, and that stopping begins.
type Announcer struct {
	Log     *log.Logger
	Message string
}

// String returns the service's name.
func (a *Announcer) String() string { return "announcer" }

// Run logs and waits for ctx.
func (a *Announcer) Run(ctx context.Context, ready func()) error {
	ready()
	a.Log.Info(a.Message)
	<-ctx.Done()
	a.Log.Info("stopping")
	return nil
}
