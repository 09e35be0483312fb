package cmd

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/standin/internal/bench"
)

type benchCmd struct {
	Bin  string   `default:"bin" help:"Directory of the programs."`
	Only []string `help:"Names of the measurements to make: path, streams, fleet, capacity."`
}

// measurement is one part of the bench.
type measurement struct {
	name string
	run  func(ctx context.Context, bin, dir string, w *bench.Writer) error
}

var measurements = []measurement{
	{"path", bench.Path},
	{"streams", bench.Streams},
	{"fleet", bench.Fleet},
	{"capacity", bench.Capacity},
}

// Run makes the measurements and writes their lines to standard output.
func (c *benchCmd) Run(ctx context.Context) error {
	bin, err := filepath.Abs(c.Bin)
	if err != nil {
		return errors.Wrap(err, "finding the programs")
	}
	for _, m := range measurements {
		if !c.wanted(m.name) {
			continue
		}
		if err := measure(ctx, m, bin); err != nil {
			return errors.Wrap(err, m.name)
		}
	}
	return nil
}

func (c *benchCmd) wanted(name string) bool {
	for _, one := range c.Only {
		if one == name {
			return true
		}
	}
	return len(c.Only) == 0
}

func measure(ctx context.Context, m measurement, bin string) error {
	dir, err := os.MkdirTemp("", "rattantrack-bench")
	if err != nil {
		return errors.Wrap(err, "making a directory")
	}
	defer os.RemoveAll(dir)
	return m.run(ctx, bin, dir, &bench.Writer{Out: os.Stdout, Notes: os.Stderr})
}
