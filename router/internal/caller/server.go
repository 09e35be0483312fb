package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/httplisten"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/shutdown"
	"rattantrack.dev/router/internal/sides"
)

// Dispatcher sends calls to the sides of upstreams and requests tickets from them.
type Dispatcher interface {
	Do(ctx context.Context, c *sides.Call, sink sides.Sink) sides.Result
	IssueTicket(ctx context.Context, name settings.ProfileName, p settings.Profile) (*peer.TicketIssued, error)
}

// View provides the declarations in force.
type View interface {
	Declarations() (*settings.Declarations, settings.Revision)
}

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// Server is the HTTP server for callers.
type Server struct {
	Config     settings.Router
	Dispatcher Dispatcher
	View       View
	Clock      Clock
	Log        *log.Logger
	Scope      tally.Scope
	// Identity is the certificate presented to callers, nil for plain HTTP.
	Identity *peer.Identity
	// Memory bounds what all calls together hold.
	Memory *memorybudget.Budget
	// Limit bounds the connections.
	Limit *httplisten.Limit

	stopping   atomic.Bool
	openCalls  atomic.Int64
	mu         sync.Mutex
	openByTeam map[settings.TeamID]int
}

// String returns the service's name.
func (s *Server) String() string { return "caller" }

// Stopping reports whether the server has begun to stop.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Run serves until ctx ends. It then reports not ready for the notice time, still accepting calls, so that the load
// balancer removes this router, and after that waits up to the drain time for open calls. Those that have not ended then get an answer.
func (s *Server) Run(ctx context.Context, ready func()) error {
	app, err := s.app()
	if err != nil {
		return err
	}
	limits := s.Config.Limits
	base, endCalls := context.WithCancelCause(context.Background())
	defer endCalls(nil)
	srv := &http.Server{
		BaseContext:       func(net.Listener) context.Context { return base },
		Handler:           app,
		ReadHeaderTimeout: limits.HeaderTime,
		IdleTimeout:       limits.IdleTime,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
	if s.Identity != nil {
		srv.TLSConfig = s.Identity.CallerConfig()
	}
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-ctx.Done()
		// From now on /readyz fails and each response closes its connection. Idle connections stay open during the notice
		// time, since a caller may already be sending a request on one.
		s.stopping.Store(true)
		time.AfterFunc(s.Config.NoticeTime, cancel)
	}()
	stop := operator.Stop{Time: s.Config.DrainTime, End: func() {
		s.Log.Warn("calls ended by the stop", "open", s.openCalls.Load())
		endCalls(&shutdown.EndedError{})
	}}
	return operator.ServeHTTP(serveCtx, srv, s.Config.Caller, s.Limit, stop, ready)
}

// app returns the handler of all routes for callers.
func (s *Server) app() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.UseRouter(s.closeWhenStopping)
	app.Post("/v1/chat/completions", s.chat)
	app.Get("/v1/models", s.models)
	app.Post("/v1/tickets", s.ticket)
	app.Any("/v1/services/{profile:string}", s.plain)
	app.Any("/v1/services/{profile:string}/{path:path}", s.plain)
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "building the callers' routes")
	}
	return app, nil
}

// closeWhenStopping announces the end of the connection in responses that the router's own handlers do not write.
func (s *Server) closeWhenStopping(ctx iris.Context) {
	s.announceEnd(ctx)
	ctx.Next()
}

// announceEnd makes callers of a stopping router use a new connection for their next call. It is called again when the head is written, since
// the stop may have begun after the call.
func (s *Server) announceEnd(ctx iris.Context) {
	if s.Stopping() {
		ctx.Header("Connection", "close")
	}
}

// acquire counts an open call of a team; it returns false if a limit of the process or the team is reached.
func (s *Server) acquire(team settings.TeamID, maxOpen int) bool {
	if s.openCalls.Add(1) > int64(s.Config.Limits.OpenCalls) {
		s.openCalls.Add(-1)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openByTeam == nil {
		s.openByTeam = make(map[settings.TeamID]int)
	}
	if s.openByTeam[team] >= maxOpen {
		s.openCalls.Add(-1)
		return false
	}
	s.openByTeam[team]++
	return true
}

// release ends the count of an open call.
func (s *Server) release(team settings.TeamID) {
	s.openCalls.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openByTeam[team]--
	if s.openByTeam[team] == 0 {
		delete(s.openByTeam, team)
	}
}

// Status is the state of the server in dumps.
type Status struct {
	Stopping bool                    `json:"leaving"`
	Open     int64                   `json:"open_calls"`
	Teams    map[settings.TeamID]int `json:"open_calls_by_team"`
	// Connections is the number of callers' connections, Memory what the calls hold.
	Connections int                 `json:"connections"`
	Memory      memorybudget.Status `json:"request_memory"`
}

// Dump returns the server's state.
func (s *Server) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	teams := make(map[settings.TeamID]int, len(s.openByTeam))
	for team, n := range s.openByTeam {
		teams[team] = n
	}
	return Status{
		Stopping: s.Stopping(), Open: s.openCalls.Load(), Teams: teams, Connections: s.Limit.Open(), Memory: s.Memory.Status(),
	}
}

// Names of the request and response headers.
const (
	headerTeam    = "Rattantrack-Team"
	headerChat    = "Rattantrack-Chat"
	headerHint    = "Rattantrack-Hint"
	headerRequest = "Rattantrack-Request"
	headerTicket  = "Rattantrack-Ticket"
	headerOutcome = "Rattantrack-Outcome"
	headerKey     = "Idempotency-Key"
)

const maxKeyBytes = 255

// resolvedCall is a caller's request with its profile and team, before its body is read.
type resolvedCall struct {
	call *sides.Call
	team settings.Team
}

// resolve looks up the profile and team of a request; it returns a failure if one is unknown.
func (s *Server) resolve(ctx iris.Context, name settings.ProfileName, kind settings.ServiceKind) (*resolvedCall, *failure) {
	declarations, _ := s.View.Declarations()
	if declarations == nil {
		return nil, &failure{status: http.StatusServiceUnavailable, code: "no_declarations", retryAfter: time.Second}
	}
	profile, ok := declarations.Profiles[name]
	if !ok {
		return nil, &failure{status: http.StatusNotFound, code: "unknown_profile"}
	}
	service := declarations.Services[profile.Service]
	if service.Kind != kind {
		return nil, &failure{status: http.StatusNotFound, code: "profile_of_other_kind"}
	}
	id := settings.TeamID(ctx.GetHeader(headerTeam))
	team, ok := declarations.Teams[id]
	if !ok {
		return nil, &failure{status: http.StatusForbidden, code: "unknown_team"}
	}
	call := &sides.Call{
		ID:          peer.RequestID(uuid.NewString()),
		ProfileName: name,
		Profile:     profile,
		Service:     service,
		Team:        id,
		Deadline:    s.Clock.Now().Add(profile.Deadline),
	}
	return &resolvedCall{call: call, team: team}, nil
}

// serve runs a call and writes its answer or an error response.
func (s *Server) serve(ctx iris.Context, resolved *resolvedCall) {
	call := resolved.call
	ctx.Header(headerRequest, string(call.ID))
	if !s.acquire(call.Team, resolved.team.MaxOpen) {
		s.fail(ctx, call, &failure{status: http.StatusTooManyRequests, code: "too_many_open_calls", retryAfter: time.Second})
		return
	}
	defer s.release(call.Team)
	start := s.Clock.Now()
	sink := &responseSink{server: s, ctx: ctx}
	result := s.Dispatcher.Do(ctx.Request().Context(), call, sink)
	elapsed := s.Clock.Now().Sub(start)
	s.Scope.Timer("call_duration").Record(elapsed)
	s.Log.Info("call",
		"request", call.ID, "attempts", result.Attempts, "asks", result.Requests, "profile", call.ProfileName, "team", call.Team,
		"upstream", result.Side, "outcome", result.Outcome, "code", result.Code, "duration_ms", elapsed.Milliseconds())
	if result.Outcome == peer.OutcomeDone {
		return
	}
	if sink.headSent {
		sink.writeError(call, result)
		return
	}
	s.fail(ctx, call, resultFailure(result))
}
