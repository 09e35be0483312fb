package cmd

import (
	"context"
	"time"

	"rattantrack.dev/standin/internal/vmlist"
)

type vmListCmd struct {
	Listen string        `required:"" help:"Address to serve on."`
	Lag    time.Duration `default:"2s" help:"Age of the list."`
}

// Run serves the simulated VM list until ctx ends.
func (c *vmListCmd) Run(ctx context.Context) error {
	s := &vmlist.Service{Lag: c.Lag}
	return serve(ctx, c.Listen, s.Handler())
}
