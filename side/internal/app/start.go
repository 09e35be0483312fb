package app

import (
	"context"

	"github.com/charmbracelet/log"

	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/settings"
)

// Start reads a settings file and runs a side process until ctx ends.
func Start(ctx context.Context, file string, l *log.Logger) error {
	var cfg settings.Side
	if err := settings.LoadProcess(file, &cfg); err != nil {
		return err
	}
	cfg.Descriptors = operator.Descriptors(cfg.Descriptors, l)
	cfg.SetDefaults()
	if problems := cfg.Validate(file); len(problems) > 0 {
		return problems
	}
	s, err := New(cfg, l.With("id", cfg.Upstream))
	if err != nil {
		return err
	}
	return s.Run(ctx)
}
