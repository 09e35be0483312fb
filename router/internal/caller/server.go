package caller

import (
	"context"
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
	"rattantrack.dev/core/operator"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/sides"
)

// Dispatcher takes calls to upstreams.
type Dispatcher interface {
	Do(ctx context.Context, c *sides.Call, sink sides.Sink) sides.Result
	Issue(ctx context.Context, name settings.ProfileName, p settings.Profile) (*peer.TicketIssued, error)
}

// Declarations gives the declarations in force.
type Declarations interface {
	Fleet() (*settings.Declarations, settings.Revision)
}

// Clock gives the present instant.
type Clock interface {
	Now() clock.Instant
}

// Server is the HTTP service for callers.
type Server struct {
	Config       settings.Router
	Dispatcher   Dispatcher
	Declarations Declarations
	Clock        Clock
	Log          *log.Logger
	Scope        tally.Scope
	// Identity is the certificate that callers see, nil for plain HTTP.
	Identity *peer.Identity

	leaving atomic.Bool
	open    atomic.Int64
	mu      sync.Mutex
	teams   map[settings.TeamID]int
}

// String returns the service's name.
func (s *Server) String() string { return "caller" }

// Leaving reports whether the server takes no more connections.
func (s *Server) Leaving() bool { return s.leaving.Load() }

// Run serves until ctx ends, then lets the balancer see it leave, and then lets open calls end.
func (s *Server) Run(ctx context.Context, ready func()) error {
	app, err := s.app()
	if err != nil {
		return err
	}
	limits := s.Config.Limits
	srv := &http.Server{
		Handler:           app,
		ReadHeaderTimeout: limits.HeaderTime,
		IdleTimeout:       limits.IdleTime,
		MaxHeaderBytes:    limits.HeaderBytes,
	}
	if s.Identity != nil {
		srv.TLSConfig = s.Identity.CallerConfig()
	}
	noticed, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-ctx.Done()
		// From now on /readyz fails and each answer closes its connection. Idle connections stay open meanwhile,
		// since a caller may be sending on one of them at this moment.
		s.leaving.Store(true)
		time.AfterFunc(s.Config.NoticeTime, cancel)
	}()
	return operator.ServeHTTP(noticed, srv, s.Config.Caller, s.Config.DrainTime, ready)
}

func (s *Server) app() (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.UseRouter(s.closeWhenLeaving)
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

// closeWhenLeaving tells callers of a stopping router to use another connection for their next call.
func (s *Server) closeWhenLeaving(ctx iris.Context) {
	if s.Leaving() {
		ctx.Header("Connection", "close")
	}
	ctx.Next()
}

// enter counts a call against the limits of the process and the team.
func (s *Server) enter(team settings.TeamID, maxOpen int) bool {
	if s.open.Add(1) > int64(s.Config.Limits.OpenCalls) {
		s.open.Add(-1)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.teams == nil {
		s.teams = make(map[settings.TeamID]int)
	}
	if s.teams[team] >= maxOpen {
		s.open.Add(-1)
		return false
	}
	s.teams[team]++
	return true
}

func (s *Server) leave(team settings.TeamID) {
	s.open.Add(-1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.teams[team]--
	if s.teams[team] == 0 {
		delete(s.teams, team)
	}
}

// Status is what the server shows of itself.
type Status struct {
	Leaving bool                    `json:"leaving"`
	Open    int64                   `json:"open_calls"`
	Teams   map[settings.TeamID]int `json:"open_calls_by_team"`
}

// Dump returns the server's state.
func (s *Server) Dump() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	teams := make(map[settings.TeamID]int, len(s.teams))
	for team, n := range s.teams {
		teams[team] = n
	}
	return Status{Leaving: s.Leaving(), Open: s.open.Load(), Teams: teams}
}

// Headers of the system's own.
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

// admission is a caller's request with its profile and team, before its body is looked at.
type admission struct {
	call *sides.Call
	team settings.Team
}

// admit looks up profile and team of a request; the failure explains what is wrong.
func (s *Server) admit(ctx iris.Context, name settings.ProfileName, kind settings.ServiceKind) (*admission, *failure) {
	fleet, _ := s.Declarations.Fleet()
	if fleet == nil {
		return nil, &failure{status: http.StatusServiceUnavailable, code: "no_declarations", retryAfter: time.Second}
	}
	profile, ok := fleet.Profiles[name]
	if !ok {
		return nil, &failure{status: http.StatusNotFound, code: "unknown_profile"}
	}
	service := fleet.Services[profile.Service]
	if service.Kind != kind {
		return nil, &failure{status: http.StatusNotFound, code: "profile_of_other_kind"}
	}
	id := settings.TeamID(ctx.GetHeader(headerTeam))
	team, ok := fleet.Teams[id]
	if !ok {
		return nil, &failure{status: http.StatusForbidden, code: "unknown_team"}
	}
	call := &sides.Call{
		ID:       peer.RequestID(uuid.NewString()),
		Name:     name,
		Profile:  profile,
		Service:  service,
		Team:     id,
		Deadline: s.Clock.Now().Add(profile.Deadline),
	}
	return &admission{call: call, team: team}, nil
}

// serve runs a call and answers the caller, whatever becomes of it.
func (s *Server) serve(ctx iris.Context, a *admission) {
	c := a.call
	ctx.Header(headerRequest, string(c.ID))
	if !s.enter(c.Team, a.team.MaxOpen) {
		s.fail(ctx, c, &failure{status: http.StatusTooManyRequests, code: "too_many_open_calls", retryAfter: time.Second})
		return
	}
	defer s.leave(c.Team)
	start := s.Clock.Now()
	sink := &responseSink{ctx: ctx}
	r := s.Dispatcher.Do(ctx.Request().Context(), c, sink)
	took := s.Clock.Now().Sub(start)
	s.Scope.Timer("call_duration").Record(took)
	s.Log.Info("call",
		"request", c.ID, "attempts", r.Attempts, "asks", r.Asks, "profile", c.Name, "team", c.Team,
		"upstream", r.Side, "outcome", r.Outcome, "code", r.Code, "duration_ms", took.Milliseconds())
	if r.Outcome == peer.OutcomeDone {
		return
	}
	if sink.headed {
		sink.breakOff(c, r)
		return
	}
	s.fail(ctx, c, failureOf(r))
}
