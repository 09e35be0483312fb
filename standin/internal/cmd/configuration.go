package cmd

import (
	"context"

	"rattantrack.dev/core/settings"
	"rattantrack.dev/standin/internal/configuration"
)

type configurationCmd struct {
	Listen       string `required:"" help:"Address to serve on."`
	Declarations string `help:"Directory whose declarations are the first revision."`
}

// Run serves the simulated configuration service until ctx ends.
func (c *configurationCmd) Run(ctx context.Context) error {
	s := &configuration.Service{}
	if c.Declarations != "" {
		declarations, err := settings.LoadDeclarations(c.Declarations)
		if err != nil {
			return err
		}
		docs, err := declarations.Documents()
		if err != nil {
			return err
		}
		s.Publish(docs)
	}
	return serve(ctx, c.Listen, s.Handler())
}
