package client

import (
	"encoding/json"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/router/internal/direct"
)

// defaultWriteTime bounds each write to a client that does not read.
const defaultWriteTime = 10 * time.Second

// hopHeaders apply to a single connection (RFC 9110, section 7.6.1). Content-Length is set anew on each connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade", "Content-Length",
	"Expect",
}

// forwarded returns a copy of the header without the fields that apply to a single connection.
func forwarded(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// sink writes a response to the client.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// writeTime bounds each write.
	writeTime time.Duration
	// stopping reports whether the server stops, so that the connection ends after the response.
	stopping func() bool
}

// WriteHead writes the status and the header fields.
func (s *sink) WriteHead(status int, h http.Header, length int64) error {
	out := s.w.Header()
	for name, values := range forwarded(h) {
		out[name] = values
	}
	if out["Content-Type"] == nil {
		// A nil value stops net/http from detecting a content type.
		out["Content-Type"] = nil
	}
	if s.stopping() {
		out.Set("Connection", "close")
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.w.WriteHeader(status)
	return nil
}

// Write appends to the body.
func (s *sink) Write(data []byte, flush bool) error {
	if err := s.control.SetWriteDeadline(time.Now().Add(s.writeTime)); err != nil {
		return err
	}
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return s.control.Flush()
}

// refuse writes a failure response of the router itself, and logs and counts it.
func (s *Server) refuse(w http.ResponseWriter, r *direct.Request, f *refusal, outcome peer.Outcome) {
	s.Scope.Tagged(map[string]string{"code": f.code}).Counter("refusals").Inc(1)
	s.Log.Info("refused", "request", r.ID, "route", r.Route, "revision", r.Revision, "status", f.status, "code", f.code,
		"outcome", outcome, "retry_after_ms", f.retryAfter.Milliseconds())
	body, err := json.Marshal(failureBody{Error: failureError{Outcome: outcome, Code: f.code, Request: r.ID}})
	if err != nil {
		s.Log.Error("cannot encode the failure response", "request", r.ID, "error", err)
	}
	h := w.Header()
	if s.Stopping() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", s.Dialect.Challenge())
	}
	if f.retryAfter > 0 {
		h.Set("Retry-After", s.Dialect.RetryAfter(f.retryAfter))
	}
	// A client that sends requests and reads no answers would otherwise be awaited forever.
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.writeTime())); err != nil {
		s.Log.Debug("cannot set the write deadline", "request", r.ID, "error", err)
	}
	w.WriteHeader(f.status)
	if _, err := w.Write(body); err != nil {
		s.Log.Debug("cannot write the failure response", "request", r.ID, "error", err)
	}
}
