package client

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/routing"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/direct"
)

// Dispatcher takes requests to upstreams.
type Dispatcher interface {
	Do(ctx context.Context, r *direct.Request, sink direct.Sink) direct.Result
}

// Dialect reads what clients say and writes what they are told.
type Dialect interface {
	ReadRequest(h http.Header) (call.Request, error)
	RetryAfter(d time.Duration) string
	Challenge() string
}

// Clock gives the present instant.
type Clock interface {
	Now() clock.Instant
}

// Server is the HTTP service for clients.
type Server struct {
	Address string
	// NoticeTime is how long a stopping server still takes connections, so that the balancer can see it leave.
	NoticeTime time.Duration
	// DrainTime is how long open requests may take after that.
	DrainTime time.Duration
	// WriteTime is how long a client may leave an answer unread; 0 stands for 10 s.
	WriteTime  time.Duration
	Dispatcher Dispatcher
	Dialect    Dialect
	Clock      Clock
	Log        *log.Logger
	Scope      tally.Scope

	table   atomic.Pointer[routing.Table]
	known   chan struct{}
	prepare sync.Once
	first   sync.Once
	leaving atomic.Bool
	open    atomic.Int64
}

// String returns the service's name.
func (s *Server) String() string { return "client" }

// SetTable puts a version of the declarations in force.
func (s *Server) SetTable(t *routing.Table) {
	s.table.Store(t)
	s.first.Do(func() { close(s.declared()) })
}

// declared is closed when the first declarations are in force.
func (s *Server) declared() chan struct{} {
	s.prepare.Do(func() { s.known = make(chan struct{}) })
	return s.known
}

func (s *Server) writeTime() time.Duration { return cmp.Or(s.WriteTime, defaultWriteTime) }

// startWait is how long a request waits at a router that has just started: the declarations arrive within a few hundred
// milliseconds where the directory or another router can be reached, sooner than a refused client would come back.
const startWait = 400 * time.Millisecond

// await returns the declarations in force, nil where there are none in time.
func (s *Server) await(ctx context.Context) *routing.Table {
	if t := s.table.Load(); t != nil {
		return t
	}
	timer := time.NewTimer(startWait)
	defer timer.Stop()
	select {
	case <-s.declared():
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.table.Load()
}

// Stopping reports whether the server is about to stop.
func (s *Server) Stopping() bool { return s.leaving.Load() }

// HasDeclarations reports whether declarations are in force.
func (s *Server) HasDeclarations() bool { return s.table.Load() != nil }

// Run serves until ctx ends, lets the balancer see it leave, and then lets open requests end.
func (s *Server) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listening on %s", s.Address)
	}
	srv := &http.Server{
		Handler:           s,
		ReadHeaderTimeout: settings.DefaultHeaderTime,
		MaxHeaderBytes:    settings.DefaultHeaderBytes,
		ConnState:         noteState,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(&listener{Listener: ln, limit: s.idleTime}) }()
	ready()
	select {
	case err := <-served:
		return errors.Wrapf(err, "serving on %s", s.Address)
	case <-ctx.Done():
	}
	s.leaving.Store(true)
	// Idle connections stay open meanwhile, since a client may be sending on one of them at this moment.
	time.Sleep(s.NoticeTime)
	stopCtx, cancel := context.WithTimeout(context.Background(), s.DrainTime)
	defer cancel()
	if err := srv.Shutdown(stopCtx); err != nil {
		s.Log.Warn("requests cut by the stop", "open", s.open.Load(), "error", err)
		_ = srv.Close()
	}
	<-served
	return nil
}

// idleFactor lengthens the declared idle time, since a client counts from when it read the last answer.
const idleFactor = 1.2

// idleTime is how long an unused connection of a client is kept.
func (s *Server) idleTime() time.Duration {
	t := s.table.Load()
	if t == nil {
		return settings.DefaultIdleTime
	}
	return time.Duration(idleFactor * float64(t.Limits.IdleTime))
}

// Status is what the server shows of itself.
type Status struct {
	Leaving  bool              `json:"leaving"`
	Open     int64             `json:"open_requests"`
	Revision settings.Revision `json:"revision"`
}

// Dump returns the server's state.
func (s *Server) Dump() any {
	status := Status{Leaving: s.Stopping(), Open: s.open.Load()}
	if t := s.table.Load(); t != nil {
		status.Revision = t.Revision
	}
	return status
}
