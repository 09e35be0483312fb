package caller

import (
	"encoding/json"

	"github.com/kataras/iris/v12"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/sides"
)

// responseSink writes an answer to the caller.
type responseSink struct {
	ctx    iris.Context
	headed bool
}

// Head writes status and header.
func (s *responseSink) Head(status int, headers []peer.Header, side settings.UpstreamID) error {
	s.headed = true
	w := s.ctx.ResponseWriter()
	for _, h := range headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set(headerHint, string(side))
	w.Header().Set(headerOutcome, string(peer.OutcomeDone))
	w.WriteHeader(status)
	return nil
}

// Write writes one piece.
func (s *responseSink) Write(data []byte, flush bool) error {
	w := s.ctx.ResponseWriter()
	if _, err := w.Write(data); err != nil {
		return err
	}
	if flush {
		w.Flush()
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
