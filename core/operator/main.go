package operator

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/settings"
)

// Exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2
)

// gcPercent spends processor time to save memory, because the heaps are small and the VMs have little memory.
const gcPercent = 30

// flags is the command line of a server program.
type flags struct {
	Config string `required:"" type:"existingfile" help:"Settings file in YAML."`
}

// Main runs a server program until a signal stops it, and returns its exit code.
func Main(name, description string, start func(ctx context.Context, file string, l *log.Logger) error) int {
	var f flags
	kong.Parse(&f, kong.Name(name), kong.Description(description))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cancelOnSignal(cancel)
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	w := NewBoundedWriter(os.Stdout)
	defer w.Close()
	l := NewLog(w, name)
	logHangups(l)
	return ExitCode(l, start(ctx, f.Config, l))
}

// cancelOnSignal calls cancel at the first signal. Signals stay caught until the process ends, so that a second one does
// not interrupt a graceful stop.
func cancelOnSignal(cancel context.CancelFunc) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
	}()
}

// logHangups logs each SIGHUP, which would end the process if it were not caught. A program that can reload its settings catches it too.
func logHangups(l *log.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			l.Info("SIGHUP received")
		}
	}()
}

// ExitCode logs the error that ended a program and returns the exit code. Faults in settings are logged one by one.
func ExitCode(l *log.Logger, err error) int {
	if err == nil {
		return ExitOK
	}
	var problems settings.Problems
	if !errors.As(err, &problems) {
		l.Error("stopped", "error", err)
		return ExitFailure
	}
	for _, p := range problems {
		l.Error("bad setting", "file", p.File, "line", p.Line, "field", p.Field, "found", p.Found, "allowed", p.Allowed)
	}
	return ExitSettings
}
