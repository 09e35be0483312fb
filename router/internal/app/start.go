package app

import (
	"context"

	"github.com/charmbracelet/log"

	"rattantrack.dev/core/settings"
)

// Start reads a settings file and runs a router process until ctx ends.
func Start(ctx context.Context, file string, l *log.Logger) error {
	var cfg settings.Router
	if err := settings.LoadProcess(file, &cfg); err != nil {
		return err
	}
	cfg.Default()
	if problems := cfg.Validate(file); len(problems) > 0 {
		return problems
	}
	r, err := New(cfg, l.With("id", cfg.ID))
	if err != nil {
		return err
	}
	return r.Run(ctx)
}
