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
	"rattantrack.dev/core/httplisten"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/routing"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/shutdown"
	"rattantrack.dev/router/internal/direct"
)

// Dispatcher sends requests to upstreams and writes their responses to the sink.
type Dispatcher interface {
	Do(ctx context.Context, r *direct.Request, sink direct.Sink) direct.Result
}

// Dialect reads the header fields of requests and formats those of failures.
type Dialect interface {
	ReadRequest(h http.Header) (call.Request, error)
	RetryAfter(d time.Duration) string
	Challenge() string
}

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// Server is the HTTP server for clients.
type Server struct {
	Address string
	// NoticeTime is how long a stopping server still accepts connections, so that the load balancer notices the stop.
	NoticeTime time.Duration
	// DrainTime is how long open requests may take after NoticeTime.
	DrainTime time.Duration
	// WriteTime bounds each write of a response to a client that does not read; 0 means 10 s.
	WriteTime  time.Duration
	Dispatcher Dispatcher
	// Shutdown is told when the server ends the requests that are still open.
	Shutdown *shutdown.Tracker
	Dialect  Dialect
	Clock    Clock
	Log      *log.Logger
	Scope    tally.Scope
	// Memory bounds what all requests together hold.
	Memory *memorybudget.Budget
	// Limit bounds the connections.
	Limit *httplisten.Limit

	table          atomic.Pointer[routing.Table]
	firstTableDone chan struct{}
	firstTableInit sync.Once
	firstTableOnce sync.Once
	stopping       atomic.Bool
	openRequests   atomic.Int64
}

// String returns the service's name.
func (s *Server) String() string { return "client" }

// SetTable replaces the routing table of the declarations in force.
func (s *Server) SetTable(t *routing.Table) {
	s.table.Store(t)
	s.firstTableOnce.Do(func() { close(s.tableSet()) })
}

// tableSet returns a channel that is closed when the first declarations are in force.
func (s *Server) tableSet() chan struct{} {
	s.firstTableInit.Do(func() { s.firstTableDone = make(chan struct{}) })
	return s.firstTableDone
}

func (s *Server) writeTime() time.Duration { return cmp.Or(s.WriteTime, defaultWriteTime) }

// firstTableWait is how long a request waits for the first declarations after a start. They arrive within a few hundred
// milliseconds if the directory or another router is reachable, sooner than a refused client would retry.
const firstTableWait = 400 * time.Millisecond

// waitForTable returns the routing table in force, or nil if none arrives within firstTableWait.
func (s *Server) waitForTable(ctx context.Context) *routing.Table {
	if t := s.table.Load(); t != nil {
		return t
	}
	timer := time.NewTimer(firstTableWait)
	defer timer.Stop()
	select {
	case <-s.tableSet():
	case <-timer.C:
	case <-ctx.Done():
	}
	return s.table.Load()
}

// Stopping reports whether the server has begun to stop.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// HasDeclarations reports whether declarations are in force.
func (s *Server) HasDeclarations() bool { return s.table.Load() != nil }

// maxAnswerTime bounds the part of DrainTime in which the clients of requests that have not ended get an answer.
const maxAnswerTime = 100 * time.Millisecond

// shutDown ends the connections as they become idle, for up to the given time.
func (s *Server) shutDown(srv *http.Server, limit time.Duration, due time.Time) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return s.Limit.Shutdown(ctx, srv, due)
}

// Run serves until ctx ends, keeps serving for NoticeTime, and then waits up to DrainTime for open requests.
func (s *Server) Run(ctx context.Context, ready func()) error {
	ln, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "listening on %s", s.Address)
	}
	base, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(nil)
	srv := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return base },
		Handler:           s,
		ReadHeaderTimeout: settings.DefaultHeaderTime,
		MaxHeaderBytes:    settings.DefaultHeaderBytes,
		ConnState:         onConnState,
	}
	s.Limit.Apply(srv)
	served := make(chan error, 1)
	go func() { served <- srv.Serve(&idleListener{Listener: s.Limit.Listen(ln, nil), idleTime: s.idleTime}) }()
	ready()
	select {
	case err := <-served:
		return errors.Wrapf(err, "serving on %s", s.Address)
	case <-ctx.Done():
	}
	answerTime := min(maxAnswerTime, s.DrainTime/2)
	noticeEnd := s.Clock.Now().Add(s.NoticeTime)
	s.Shutdown.Begin(noticeEnd, noticeEnd.Add(s.DrainTime-answerTime))
	s.stopping.Store(true)
	due := time.Now().Add(s.NoticeTime)
	// Idle connections stay open during NoticeTime, since a client may be about to send a request on one of them.
	time.Sleep(s.NoticeTime)
	if s.shutDown(srv, s.DrainTime-answerTime, due) != nil {
		s.Log.Warn("requests ended by the stop", "open", s.openRequests.Load())
		endRequests(&shutdown.EndedError{})
		if err := s.shutDown(srv, answerTime, due.Add(s.DrainTime-answerTime)); err != nil {
			s.Log.Warn("requests cut by the stop", "open", s.openRequests.Load(), "error", err)
			_ = srv.Close()
		}
	}
	<-served
	s.Limit.LogStop()
	return nil
}

// idleFactor lengthens the declared idle time, since a client starts counting later, when it has read the last response.
const idleFactor = 1.2

// idleTime returns how long an idle client connection is kept.
func (s *Server) idleTime() time.Duration {
	t := s.table.Load()
	if t == nil {
		return settings.DefaultIdleTime
	}
	return time.Duration(idleFactor * float64(t.Limits.IdleTime))
}

// Status is the server's state in a dump.
type Status struct {
	Stopping bool              `json:"leaving"`
	Open     int64             `json:"open_requests"`
	Revision settings.Revision `json:"revision"`
	// Connections is the number of client connections, Memory what the requests hold.
	Connections int                 `json:"connections"`
	Memory      memorybudget.Status `json:"request_memory"`
}

// Dump returns the server's state.
func (s *Server) Dump() any {
	status := Status{
		Stopping: s.Stopping(), Open: s.openRequests.Load(), Connections: s.Limit.Open(), Memory: s.Memory.Status(),
	}
	if t := s.table.Load(); t != nil {
		status.Revision = t.Revision
	}
	return status
}
