package cmd

import (
	"context"
	"time"

	"rattantrack.dev/standin/internal/engine"
)

type engineCmd struct {
	Listen      string        `required:"" help:"Address to serve on."`
	Model       string        `default:"letterhouse-8b" help:"Name of the model."`
	DecodeRate  float64       `default:"200" help:"Answer tokens a stream gets a second."`
	PrefillRate float64       `default:"20000" help:"Prompt tokens read a second."`
	CacheTokens int           `default:"600000" help:"Size of the prefix cache."`
	MaxBatch    int           `default:"64" help:"Streams that run at a time."`
	ReportLag   time.Duration `default:"1s" help:"Age of the load report."`
}

// Run serves the simulated engine until ctx ends.
func (c *engineCmd) Run(ctx context.Context) error {
	e := engine.New(engine.Settings{
		Model:       c.Model,
		DecodeRate:  c.DecodeRate,
		PrefillRate: c.PrefillRate,
		CacheTokens: c.CacheTokens,
		MaxBatch:    c.MaxBatch,
		ReportLag:   c.ReportLag,
	})
	go e.RefreshLoadReport(ctx.Done())
	return serve(ctx, c.Listen, e.Handler())
}
