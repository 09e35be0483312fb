package operator

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	// The profiler registers itself with the default mux, which nothing else serves.
	_ "net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
)

// Times and sizes of the operators' server.
const (
	headerLimit = 5 * time.Second
	stopLimit   = 2 * time.Second
	maxHeader   = 16 << 10
)

// Dumper is a part of a process that shows its state; names, counts and ages only, never contents or secrets.
type Dumper interface {
	String() string
	Dump() any
}

// Section is the state of one part of a process.
type Section struct {
	Name  string `json:"name"`
	State any    `json:"state"`
}

// Server is the operators' HTTP service of one process.
type Server struct {
	Address string
	Metrics *Metrics
	// Ready reports whether the process takes work.
	Ready   func() bool
	Dumpers []Dumper
}

// String returns the service's name.
func (s *Server) String() string { return "operator" }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context, ready func()) error {
	app, err := s.app()
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: app, ReadHeaderTimeout: headerLimit, MaxHeaderBytes: maxHeader}
	return ServeHTTP(ctx, srv, s.Address, stopLimit, ready)
}

func (s *Server) app() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	app.Get("/readyz", s.readyz)
	app.Get("/dump", s.dump)
	app.Get("/debug/pprof/{part:path}", iris.FromStd(http.DefaultServeMux))
	if s.Metrics != nil {
		app.Get("/metrics", iris.FromStd(s.Metrics.Handler))
	}
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "building the operators' routes")
	}
	return app, nil
}

func (s *Server) readyz(ctx iris.Context) {
	if s.Ready != nil && !s.Ready() {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_, _ = ctx.WriteString("not ready\n")
		return
	}
	_, _ = ctx.WriteString("ready\n")
}

func (s *Server) dump(ctx iris.Context) {
	sections := make([]Section, 0, len(s.Dumpers))
	for _, d := range s.Dumpers {
		sections = append(sections, Section{Name: d.String(), State: d.Dump()})
	}
	// A caller that went away needs no answer.
	_ = ctx.JSON(sections)
}

// ServeHTTP listens on address and serves until ctx ends, then waits up to limit for open requests.
func ServeHTTP(ctx context.Context, srv *http.Server, address string, limit time.Duration, ready func()) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listening on %s", address)
	}
	if srv.TLSConfig != nil {
		ln = tls.NewListener(ln, srv.TLSConfig)
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	ready()
	select {
	case err := <-served:
		return errors.Wrapf(err, "serving on %s", address)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil {
		_ = srv.Close()
	}
	<-served
	return nil
}
