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

// measurement is one set of measurements that --only can select.
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

// Run runs the selected measurements and writes their figures to standard output as JSON lines.
func (c *benchCmd) Run(ctx context.Context) error {
	bin, err := filepath.Abs(c.Bin)
	if err != nil {
		return errors.Wrap(err, "resolving the directory of the programs")
	}
	for _, m := range measurements {
		if !c.selected(m.name) {
			continue
		}
		if err := measure(ctx, m, bin); err != nil {
			return errors.Wrap(err, m.name)
		}
	}
	return nil
}

func (c *benchCmd) selected(name string) bool {
	for _, only := range c.Only {
		if only == name {
			return true
		}
	}
	return len(c.Only) == 0
}

func measure(ctx context.Context, m measurement, bin string) error {
	dir, err := os.MkdirTemp("", "rattantrack-bench")
	if err != nil {
		return errors.Wrap(err, "creating a temporary directory")
	}
	defer os.RemoveAll(dir)
	return m.run(ctx, bin, dir, &bench.Writer{Out: os.Stdout, Notes: os.Stderr})
}
