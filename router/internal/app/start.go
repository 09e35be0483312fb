package app

import (
	"context"

	"github.com/charmbracelet/log"

	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/settings"
)

// process is a router process that is ready to run.
type process interface {
	Run(ctx context.Context) error
}

// Start reads a settings file and runs a router process until ctx ends.
func Start(ctx context.Context, file string, l *log.Logger) error {
	cfg, err := load(file, l)
	if err != nil {
		return err
	}
	r, err := newProcess(cfg, file, l.With("id", cfg.ID))
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

// load reads a settings file, applies the defaults and validates the result.
func load(file string, l *log.Logger) (settings.Router, error) {
	var cfg settings.Router
	if err := settings.LoadProcess(file, &cfg); err != nil {
		return cfg, err
	}
	cfg.Descriptors = operator.Descriptors(cfg.Descriptors, l)
	cfg.SetDefaults()
	if problems := cfg.Validate(file); len(problems) > 0 {
		return cfg, problems
	}
	return cfg, nil
}

// newProcess returns a Direct if the settings have a section for it, else a Router.
func newProcess(cfg settings.Router, file string, l *log.Logger) (process, error) {
	if cfg.Direct != nil {
		return NewDirect(cfg, file, l)
	}
	return New(cfg, l)
}
