package app

import (
	"context"

	"github.com/charmbracelet/log"

	"rattantrack.dev/core/settings"
)

// runner is a router process that is put together.
type runner interface {
	Run(ctx context.Context) error
}

// Start reads a settings file and runs a router process until ctx ends.
func Start(ctx context.Context, file string, l *log.Logger) error {
	cfg, err := load(file)
	if err != nil {
		return err
	}
	r, err := newRunner(cfg, file, l.With("id", cfg.ID))
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

// load reads, fills up and checks a settings file.
func load(file string) (settings.Router, error) {
	var cfg settings.Router
	if err := settings.LoadProcess(file, &cfg); err != nil {
		return cfg, err
	}
	cfg.Default()
	if problems := cfg.Validate(file); len(problems) > 0 {
		return cfg, problems
	}
	return cfg, nil
}

func newRunner(cfg settings.Router, file string, l *log.Logger) (runner, error) {
	if cfg.Direct != nil {
		return NewDirect(cfg, file, l)
	}
	return New(cfg, l)
}
