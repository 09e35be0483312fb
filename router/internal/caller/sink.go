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
	ctx      iris.Context
	headSent bool
}

// WriteHead writes the status and header.
func (s *responseSink) WriteHead(status int, headers []peer.Header, side settings.UpstreamID) error {
	s.headSent = true
	w := s.ctx.ResponseWriter()
	for _, h := range headers {
		w.Header().Add(h.Name, h.Value)
	}
	w.Header().Set(headerHint, string(side))
	w.Header().Set(headerOutcome, string(peer.OutcomeDone))
	w.WriteHeader(status)
	return nil
}

// Write writes one chunk and flushes it if asked to.
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

// writeError ends an answer that was already begun with an error event, since its status can't be changed any more.
func (s *responseSink) writeError(call *sides.Call, result sides.Result) {
	text, err := json.Marshal(resultFailure(result).body(call))
	if err != nil {
		return
	}
	_ = s.Write([]byte("event: error\ndata: "+string(text)+"\n\n"), true)
}
