package caller

import (
	"encoding/json"
	"net/http"

	"github.com/kataras/iris/v12"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/sides"
)

// responseSink writes an answer to the caller.
type responseSink struct {
	ctx    iris.Context
	w      http.ResponseWriter
	flush  http.Flusher
	headed bool
}

// Head writes status and header.
func (s *responseSink) Head(status int, headers []peer.Header, side settings.UpstreamID) error {
	s.headed = true
	// The plain writer underneath saves a layer on each piece.
	s.w = s.ctx.ResponseWriter().Naive()
	s.flush, _ = s.w.(http.Flusher)
	for _, h := range headers {
		s.w.Header().Add(h.Name, h.Value)
	}
	s.w.Header().Set(headerHint, string(side))
	s.w.Header().Set(headerOutcome, string(peer.OutcomeDone))
	s.w.WriteHeader(status)
	return nil
}

// Write writes one piece.
func (s *responseSink) Write(data []byte, flush bool) error {
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	if flush && s.flush != nil {
		s.flush.Flush()
	}
	return nil
}

// breakOff tells a caller in mid-stream that the answer will not become whole.
func (s *responseSink) breakOff(c *sides.Call, r sides.Result) {
	text, err := json.Marshal(failureOf(r).body(c))
	if err != nil {
		return
	}
	_ = s.Write([]byte("event: error\ndata: "+string(text)+"\n\n"), true)
}
