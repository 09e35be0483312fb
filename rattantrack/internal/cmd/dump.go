package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/rattantrack/internal/process"
)

type dumpCmd struct {
	Address string `arg:"" help:"Operators' address of a process."`
}

// Run shows the state of a process.
func (c *dumpCmd) Run(ctx context.Context, o *output) error {
	sections, err := process.Dump(ctx, c.Address)
	if err != nil {
		return err
	}
	var b strings.Builder
	for _, s := range sections {
		var text bytes.Buffer
		if err := json.Indent(&text, s.State, "  ", "  "); err != nil {
			return errors.Wrapf(err, "formatting the state of %s", s.Name)
		}
		fmt.Fprintf(&b, "%s\n  %s\n", s.Name, text.String())
	}
	return o.print(sections, b.String())
}
