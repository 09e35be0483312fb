package cmd

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"rattantrack.dev/core/operator"
)

// root is the command line.
type root struct {
	Engine        engineCmd        `cmd:"" help:"Run a stand-in model engine."`
	Plain         plainCmd         `cmd:"" help:"Run a stand-in plain service."`
	Configuration configurationCmd `cmd:"" help:"Run a stand-in configuration service."`
	VMList        vmListCmd        `cmd:"" name:"vm-list" help:"Run a stand-in VM list."`
	Relay         relayCmd         `cmd:"" help:"Run a naive relay, the baseline for the cost of the path."`
	Bench         benchCmd         `cmd:"" help:"Measure running processes and write figures as JSON lines."`
	Demo          demoCmd          `cmd:"" help:"Start a small fleet and show what it does."`
}

// Main parses and runs the command line and returns the exit code.
func Main() int {
	var r root
	k := kong.Parse(&r, kong.Name("standin"), kong.Description("Small stand-ins for tests and the demo."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	return operator.ExitCode(operator.NewLog(os.Stderr, "standin"), k.Run())
}

const (
	readHeaderTimeout = 5 * time.Second
	stopTimeout       = 30 * time.Second
)

// serve serves HTTP until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	return operator.ServeHTTP(ctx, srv, address, nil, operator.Stop{Time: stopTimeout}, func() {})
}
