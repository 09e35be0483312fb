package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/settings"
)

// output is the writer and format of a command's output.
type output struct {
	out  io.Writer
	json bool
}

// print writes v as JSON if the user asked for JSON, else text.
func (o *output) print(v any, text string) error {
	if !o.json {
		_, err := fmt.Fprint(o.out, text)
		return err
	}
	enc := json.NewEncoder(o.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// root defines the commands and the flags that they share.
type root struct {
	JSON bool `name:"json" help:"Write JSON instead of text."`

	Check    checkCmd    `cmd:"" help:"Check declarations and report every fault at once. Example: rattantrack check examples/kanem"`
	Diff     diffCmd     `cmd:"" help:"Show what changes between two sets of declarations. Example: rattantrack diff old new"`
	Explain  explainCmd  `cmd:"" help:"Explain what a request with a profile gets. Example: rattantrack explain examples/kanem debit-fee"`
	Profiles profilesCmd `cmd:"" help:"List the profiles. Example: rattantrack profiles examples/kanem"`
	Dump     dumpCmd     `cmd:"" help:"Show the state of a process. Example: rattantrack dump 10.0.0.7:7401"`
	Status   statusCmd   `cmd:"" help:"Show the load of a fleet's processes. Example: rattantrack status 10.0.0.7:7401 10.0.0.8:7401"`
	Send     sendCmd     `cmd:"" help:"Send a chat by hand. Example: rattantrack send http://10.0.0.1:8080 answer-parent --team office \"Is the trip on?\""`

	Completion completionCmd `cmd:"" help:"Print a completion script for bash. Example: source <(rattantrack completion)"`
}

const description = `Reads declarations and queries processes; never writes shared state.

Exit codes: 0 success, 1 the command failed, 2 the declarations or the command line have faults.`

// Main runs the command line and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var r root
	exited := -1
	parser, err := kong.New(&r, kong.Name("rattantrack"), kong.Description(description),
		kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return operator.ExitFailure
	}
	k, err := parser.Parse(args)
	if exited >= 0 {
		// kong has printed the help.
		return exited
	}
	if err != nil {
		fmt.Fprintln(errOut, err)
		return operator.ExitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	o := &output{out: out, json: r.JSON}
	return exitCode(errOut, o, k.Run(o))
}

// exitCode prints a command's error and returns its exit code.
func exitCode(errOut io.Writer, o *output, err error) int {
	if err == nil {
		return operator.ExitOK
	}
	var problems settings.Problems
	if errors.As(err, &problems) {
		if o.json {
			_ = o.print(problems, "")
			return operator.ExitSettings
		}
		fmt.Fprintln(errOut, problems)
		return operator.ExitSettings
	}
	fmt.Fprintln(errOut, "error:", err)
	return operator.ExitFailure
}
