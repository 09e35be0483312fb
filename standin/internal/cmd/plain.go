package cmd

import (
	"context"

	"rattantrack.dev/standin/internal/plain"
)

type plainCmd struct {
	Listen string `required:"" help:"Address to serve on."`
	Name   string `default:"plain" help:"Name that answers carry."`
}

// Run serves the simulated plain service until ctx ends.
func (c *plainCmd) Run(ctx context.Context) error {
	s := &plain.Service{Name: c.Name}
	return serve(ctx, c.Listen, s.Handler())
}
