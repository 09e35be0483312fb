package client

import (
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/routing"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/direct"
	"rattantrack.dev/router/internal/requestbody"
	"rattantrack.dev/router/internal/upstream"
)

// unreadyRetryAfter is when a client may retry at a router that has no declarations yet.
const unreadyRetryAfter = 500 * time.Millisecond

// refusal is a failure response of the router itself.
type refusal struct {
	status     int
	code       string
	retryAfter time.Duration
}

// ServeHTTP handles one client request.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	arrived := s.Clock.Now()
	lease := s.Memory.Open()
	// The lease ends with the request on each way out, a panic too.
	defer lease.Close()
	r, refused := s.admit(req)
	if refused == nil {
		refused = s.readBody(w, req, r, lease)
	}
	if refused != nil {
		requestbody.Abandon(w, req)
		s.refuse(w, r, refused, peer.OutcomeNotRun)
		return
	}
	r.Memory = lease
	r.Digest = call.NewRequestDigest(req.Host, r.Outbound.URI, r.Team, r.Outbound.Body)
	r.Arrived = arrived
	r.Deadline = arrived.Add(requestTimeout(r))
	s.dispatch(w, req, r)
}

// requestTimeout returns how long the request may take: the client's timeout, bounded by the route's.
func requestTimeout(r *direct.Request) time.Duration {
	if r.Timeout == 0 {
		return r.RouteConfig.Timeout
	}
	return min(r.Timeout, r.RouteConfig.Timeout)
}

// admit determines the route, the team and the service of a request.
func (s *Server) admit(req *http.Request) (*direct.Request, *refusal) {
	r := &direct.Request{}
	parsed, err := s.Dialect.ReadRequest(req.Header)
	r.Request = parsed
	if err != nil {
		s.Log.Warn("malformed request", "request", parsed.ID, "error", err)
		return r, &refusal{status: http.StatusBadRequest, code: "malformed_header"}
	}
	table := s.waitForTable(req.Context())
	if table == nil {
		return r, &refusal{status: http.StatusServiceUnavailable, code: "no_declarations", retryAfter: unreadyRetryAfter}
	}
	r.Revision = table.Revision
	uri := target(req)
	path, _, _ := strings.Cut(uri, "?")
	match, ok := table.Match(req.Host, path)
	if !ok {
		return r, &refusal{status: http.StatusNotFound, code: "unknown_route"}
	}
	r.Route, r.RouteConfig = match.Name, match.Route
	if refused := authorize(table, r, &match.Route); refused != nil {
		return r, refused
	}
	r.Rank = table.Rank(r.Team, &match.Route)
	r.Service = routing.Pick(&match.Route, rand.Float64())
	r.Outbound = upstream.Request{
		ID: r.ID, Method: req.Method, URI: uri, Host: req.Host, Header: forwarded(req.Header),
	}
	return r, nil
}

// authorize determines the team by the request's API key.
func authorize(table *routing.Table, r *direct.Request, route *settings.Route) *refusal {
	if route.Public || !table.KeyRequired() {
		return nil
	}
	team, ok := table.Team(r.APIKey)
	if !ok {
		return &refusal{status: http.StatusUnauthorized, code: "unknown_key"}
	}
	r.Team = team
	return nil
}

// target returns the path and the query as the client sent them.
func target(req *http.Request) string {
	if strings.HasPrefix(req.RequestURI, "/") {
		return req.RequestURI
	}
	return req.URL.RequestURI()
}

// readBody reads the request body within the declared limits.
func (s *Server) readBody(w http.ResponseWriter, req *http.Request, r *direct.Request, lease *memorybudget.Lease) *refusal {
	if err := lease.Grow(s.Clock.Now(), requestbody.HeadBytes(req)); err != nil {
		return s.bodyRefusal(r, err)
	}
	if req.ContentLength == 0 {
		r.Outbound.HasBody = req.Header.Get("Content-Length") != "" || req.Method == http.MethodPost || req.Method == http.MethodPut
		return nil
	}
	limits := s.table.Load().Limits
	body, err := requestbody.Read(w, req, requestbody.Limits{Bytes: limits.BodyBytes, Time: limits.IdleTime}, lease, s.Clock)
	if err != nil {
		return s.bodyRefusal(r, err)
	}
	r.Outbound.Body, r.Outbound.HasBody = body, true
	return nil
}

// bodyRefusal returns the failure response to a request whose body could not be read.
func (s *Server) bodyRefusal(r *direct.Request, err error) *refusal {
	s.Log.Info("body not read", "request", r.ID, "error", err)
	f := requestbody.FailureOf(err)
	return &refusal{status: f.Status, code: f.Code, retryAfter: f.RetryAfter}
}

// dispatch sends the request to an upstream, and logs and counts the result.
func (s *Server) dispatch(w http.ResponseWriter, req *http.Request, r *direct.Request) {
	sink := &sink{w: w, control: http.NewResponseController(w), writeTime: s.writeTime(), stopping: s.Stopping}
	res := s.Dispatcher.Do(req.Context(), r, sink)
	duration := s.Clock.Now().Sub(r.Arrived)
	s.Scope.Tagged(map[string]string{"kind": string(r.RouteConfig.Kind)}).Timer("request_duration").Record(duration)
	fields := []any{
		"request", r.ID, "route", r.Route, "revision", r.Revision, "service", r.Service, "team", r.Team,
		"upstream", res.Upstream, "version", res.Version, "outcome", res.Outcome, "code", res.Code, "status", res.Status,
		"runs", res.Runs, "tries", res.Attempts, "events", res.Events,
		"load", res.Choice.Load, "mean_load", round(res.Choice.MeanLoad), "load_bound", round(res.Choice.LoadBound),
		"prompt", r.SharedBlockID().String(), "shared_tokens", int(r.SharedTokens()), "cached_tokens", int(res.Choice.CachedTokens),
		"waited_ms", res.QueueTime.Milliseconds(), "first_ms", res.FirstByte.Milliseconds(), "duration_ms", duration.Milliseconds(),
		"left_ms", r.Deadline.Sub(s.Clock.Now()).Milliseconds(),
	}
	if r.RouteConfig.Affinity {
		fields = append(fields, "prompt_tokens", int(r.PromptTokens), "estimate", round(float64(res.Estimate.Median)),
			"basis", res.Estimate.Basis, "pause_ms", res.LongestPause.Milliseconds())
	}
	if w := res.Choice.Work; w != nil {
		fields = append(fields, "waiting_tokens", int(w.Waiting), "slowdown", round(w.Slowdown))
	}
	if r.ContinuesStream() {
		fields = append(fields, "first_attempt", r.FirstAttempt, "last_event", r.LastEvent)
	}
	if owner := res.Choice.CacheOwner; owner != nil {
		fields = append(fields, "holder", owner.ID, "holder_tokens", int(owner.CachedTokens), "holder_load", owner.Load,
			"holder_excluded", owner.Excluded)
	}
	s.Log.Info("request", fields...)
	switch {
	case res.Outcome == peer.OutcomeDone:
	case res.Code == direct.CodeClientGone || res.HeadSent:
		// The response cannot be completed. Aborting keeps it from looking complete.
		panic(http.ErrAbortHandler)
	default:
		s.refuse(w, r, refusalOf(res), res.Outcome)
	}
}

// round rounds to one decimal place.
func round(v float64) float64 { return math.Round(v*10) / 10 }

// refusalOf returns the failure response for a result. A status that implies that the request did not run is used only if
// it did not.
func refusalOf(res direct.Result) *refusal {
	switch {
	case res.Outcome == peer.OutcomeNotRun:
		return &refusal{status: http.StatusServiceUnavailable, code: res.Code, retryAfter: res.RetryAfter}
	case res.Code == direct.CodeDeadline:
		return &refusal{status: http.StatusGatewayTimeout, code: res.Code}
	}
	return &refusal{status: http.StatusBadGateway, code: res.Code}
}

// failureBody is the JSON body of a failure response. It has the format of the caller API's failures, without the message.
type failureBody struct {
	Error failureError `json:"error"`
}

type failureError struct {
	Outcome peer.Outcome `json:"outcome"`
	Code    string       `json:"code"`
	Request call.ID      `json:"request,omitempty"`
}
