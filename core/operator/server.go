package operator

import (
	"context"
	"net"
	"net/http"
	// The profiler registers its handlers with the default mux, which only this server serves.
	_ "net/http/pprof"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"rattantrack.dev/core/httplisten"
	"rattantrack.dev/core/settings"
)

// Limits of the operators' server.
const (
	headerTimeout  = 5 * time.Second
	stopTimeout    = 2 * time.Second
	maxHeaderBytes = 16 << 10
	// readTimeout bounds a request with its body, which no handler reads.
	readTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
	// writeTimeout leaves room for a profile of a minute.
	writeTimeout = 2 * time.Minute
)

// Connections of a port that only operators or the load balancer use.
const (
	maxConnections = 64
	// connectionsDivisor is the part of the process's descriptors that they take at the most.
	connectionsDivisor = 16
)

// PortLimit returns the limit on a port that only operators or the load balancer use, in a process with this many descriptors.
func PortLimit(port string, descriptors int, l *log.Logger, m *Metrics) *httplisten.Limit {
	return &httplisten.Limit{
		Port: port, Connections: min(maxConnections, max(1, descriptors/connectionsDivisor)), HeaderFields: settings.DefaultHeaderFields,
		Log: l, Scope: m.Scope,
	}
}

// Dumper is a component that exposes its state. A dump contains names, counts and ages, but no contents or secrets.
type Dumper interface {
	String() string
	Dump() any
}

// Section is the state of one component in a dump.
type Section struct {
	Name  string `json:"name"`
	State any    `json:"state"`
}

// Server is the operators' HTTP service of one process.
type Server struct {
	Address string
	Metrics *Metrics
	// Ready reports whether the process accepts work. Without it, the process is always ready.
	Ready   func() bool
	Dumpers []Dumper
	// Limit bounds the connections.
	Limit *httplisten.Limit
}

// String returns the service's name.
func (s *Server) String() string { return "operator" }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context, ready func()) error {
	app, err := s.app()
	if err != nil {
		return err
	}
	srv := &http.Server{
		Handler: app, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	return ServeHTTP(ctx, srv, s.Address, s.Limit, Stop{Time: stopTimeout}, ready)
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
		return nil, errors.Wrap(err, "building the routes of the operators' server")
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
	// Write errors are ignored, since the client is gone.
	_ = ctx.JSON(sections)
}

// maxAnswerTime bounds the part of the time of a stop in which the clients of requests that have not ended get an answer.
const maxAnswerTime = 100 * time.Millisecond

// Stop says how a server ends its open requests.
type Stop struct {
	// Time is how long they may take.
	Time time.Duration
	// End, if not nil, ends those that are still open shortly before, so that their clients get an answer.
	End func()
}

// ServeHTTP listens on address and serves connections within the limit until ctx ends, then ends the open requests and closes the rest.
func ServeHTTP(ctx context.Context, srv *http.Server, address string, limit *httplisten.Limit, stop Stop, ready func()) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listening on %s", address)
	}
	limit.Apply(srv)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(limit.Listen(ln, srv.TLSConfig)) }()
	ready()
	select {
	case err := <-served:
		return errors.Wrapf(err, "serving on %s", address)
	case <-ctx.Done():
	}
	stop.run(srv, limit)
	<-served
	limit.LogStop()
	return nil
}

// run ends the connections as they become idle, and closes those that do not in time.
func (s Stop) run(srv *http.Server, limit *httplisten.Limit) {
	var answerTime time.Duration
	if s.End != nil {
		answerTime = min(maxAnswerTime, s.Time/2)
	}
	err := shutDown(srv, limit, s.Time-answerTime)
	if err != nil && s.End != nil {
		s.End()
		err = shutDown(srv, limit, answerTime)
	}
	if err != nil {
		_ = srv.Close()
	}
}

func shutDown(srv *http.Server, limit *httplisten.Limit, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return limit.Shutdown(ctx, srv, time.Now())
}
