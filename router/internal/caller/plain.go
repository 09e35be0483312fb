package caller

import (
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/requestbody"
	"rattantrack.dev/router/internal/sides"
)

// isOwnHeader reports whether a header is meant for the router and not for the upstream.
func isOwnHeader(name string) bool { return strings.HasPrefix(name, "Rattantrack-") }

// plain handles a call to a plain service.
func (s *Server) plain(ctx iris.Context) {
	resolved, f := s.resolve(ctx, settings.ProfileName(ctx.Params().Get("profile")), settings.KindPlain)
	if f != nil {
		requestbody.Abandon(ctx.ResponseWriter().Naive(), ctx.Request())
		s.fail(ctx, nil, f)
		return
	}
	lease := s.Memory.Open()
	// The lease ends with the call on each way out, a panic too.
	defer lease.Close()
	body, f := s.body(ctx, lease)
	if f != nil {
		s.fail(ctx, resolved.call, f)
		return
	}
	call := resolved.call
	call.Method = ctx.Method()
	call.Path = plainPath(ctx.Request(), call.ProfileName)
	call.Body, call.Memory = body, lease
	call.Headers = peer.EndToEndHeaders(ctx.Request().Header, isOwnHeader)
	if f := setKey(ctx, call); f != nil {
		s.fail(ctx, call, f)
		return
	}
	s.serve(ctx, resolved)
}

// plainPath returns the path and query that the upstream gets, without the prefix that names the profile.
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

// setKey sets the ticket or idempotency key of a call that must run at most once. The key includes team and profile, so
// that keys of different teams never collide, and contains no dot, so that it can't be taken for a ticket.
func setKey(ctx iris.Context, call *sides.Call) *failure {
	call.Ticket = ctx.GetHeader(headerTicket)
	if call.Ticket != "" {
		return nil
	}
	key, given := ctx.Request().Header[headerKey]
	if !given || call.Profile.Idempotent {
		return nil
	}
	if len(key) != 1 || key[0] == "" || len(key[0]) > maxKeyBytes || strings.ContainsAny(key[0], ".\x00") {
		return &failure{status: http.StatusBadRequest, code: "malformed_key"}
	}
	call.Key = string(call.Team) + "\x00" + string(call.ProfileName) + "\x00" + key[0]
	call.Key = strings.ReplaceAll(call.Key, ".", "\x01")
	return nil
}

// TicketBody is the JSON body that carries a ticket.
type TicketBody struct {
	Ticket          string  `json:"ticket"`
	LifetimeSeconds float64 `json:"lifetime_seconds"`
}

// ticket issues a ticket for one call that must run at most once.
func (s *Server) ticket(ctx iris.Context) {
	resolved, f := s.resolve(ctx, settings.ProfileName(ctx.URLParam("profile")), settings.KindPlain)
	if f != nil {
		s.fail(ctx, nil, f)
		return
	}
	issued, err := s.Dispatcher.IssueTicket(ctx.Request().Context(), resolved.call.ProfileName, resolved.call.Profile)
	if err != nil || issued == nil {
		s.fail(ctx, resolved.call, resultFailure(sides.Result{Outcome: peer.OutcomeNotRun, Code: sides.CodeUnreachable}))
		return
	}
	s.writeJSON(ctx, TicketBody{Ticket: issued.Ticket, LifetimeSeconds: issued.Lifetime.Seconds()})
}

// Model is one entry of the model list.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// ModelList is the JSON body of the model list.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// models lists the profiles of model services.
func (s *Server) models(ctx iris.Context) {
	list := ModelList{Object: "list", Data: []Model{}}
	declarations, _ := s.View.Declarations()
	if declarations != nil {
		for name, p := range declarations.Profiles {
			if declarations.Services[p.Service].Kind == settings.KindModel {
				list.Data = append(list.Data, Model{ID: string(name), Object: "model"})
			}
		}
	}
	s.writeJSON(ctx, list)
}
