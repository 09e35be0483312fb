package caller

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/sides"
)

// ownHeader reports whether a header is the system's own.
func ownHeader(name string) bool { return strings.HasPrefix(name, "Rattantrack-") }

// plain serves a call to a plain service.
func (s *Server) plain(ctx iris.Context) {
	a, f := s.admit(ctx, settings.ProfileName(ctx.Params().Get("profile")), settings.KindPlain)
	if f != nil {
		s.fail(ctx, nil, f)
		return
	}
	body, f := s.body(ctx)
	if f != nil {
		s.fail(ctx, a.call, f)
		return
	}
	c := a.call
	c.Method = ctx.Method()
	c.Path = plainPath(ctx.Request(), c.Name)
	c.Body = body
	c.Headers = peer.EndToEndHeaders(ctx.Request().Header, ownHeader)
	if f := setKey(ctx, c); f != nil {
		s.fail(ctx, c, f)
		return
	}
	s.serve(ctx, a)
}

// plainPath returns the upstream's path and query of a request.
func plainPath(r *http.Request, name settings.ProfileName) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+string(name))
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// setKey takes the key or ticket of a call that must run at most once. A key is named by team and profile, so that
// no team can meet another's, and holds no dot, so that it is no ticket.
func setKey(ctx iris.Context, c *sides.Call) *failure {
	c.Ticket = ctx.GetHeader(headerTicket)
	if c.Ticket != "" {
		return nil
	}
	key, given := ctx.Request().Header[headerKey]
	if !given || c.Profile.Idempotent {
		return nil
	}
	if len(key) != 1 || key[0] == "" || len(key[0]) > maxKeyBytes || strings.ContainsAny(key[0], ".\x00") {
		return &failure{status: http.StatusBadRequest, code: "malformed_key"}
	}
	c.Key = string(c.Team) + "\x00" + string(c.Name) + "\x00" + key[0]
	c.Key = strings.ReplaceAll(c.Key, ".", "\x01")
	return nil
}

// TicketBody is the answer to a request for a ticket.
type TicketBody struct {
	Ticket          string  `json:"ticket"`
	LifetimeSeconds float64 `json:"lifetime_seconds"`
}

// ticket gives the caller a ticket for one call that must run at most once.
func (s *Server) ticket(ctx iris.Context) {
	a, f := s.admit(ctx, settings.ProfileName(ctx.URLParam("profile")), settings.KindPlain)
	if f != nil {
		s.fail(ctx, nil, f)
		return
	}
	issued, err := s.Dispatcher.Issue(ctx.Request().Context(), a.call.Name, a.call.Profile)
	if err != nil || issued == nil {
		s.fail(ctx, a.call, failureOf(sides.Result{Outcome: peer.OutcomeNotRun, Code: sides.CodeUnreachable}))
		return
	}
	// A caller that went away needs no answer.
	_ = ctx.JSON(TicketBody{Ticket: issued.Ticket, LifetimeSeconds: issued.Lifetime.Seconds()})
}

// Model is one profile in the list that chat clients read.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// Models is the list of profiles that chat clients read.
type Models struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// models lists the profiles of models.
func (s *Server) models(ctx iris.Context) {
	list := Models{Object: "list", Data: []Model{}}
	fleet, _ := s.Declarations.Fleet()
	if fleet != nil {
		for name, p := range fleet.Profiles {
			if fleet.Services[p.Service].Kind == settings.KindModel {
				list.Data = append(list.Data, Model{ID: string(name), Object: "model"})
			}
		}
	}
	// A caller that went away needs no answer.
	_ = ctx.JSON(list)
}
