package cmd

import "context"

type demoCmd struct {
	Bin string `default:"bin" help:"Directory of the programs."`
}

// Run starts a small fleet and shows what it does.
func (c *demoCmd) Run(ctx context.Context) error { return nil }
