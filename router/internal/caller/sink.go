package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/sides"
)

// responseSink writes an answer to the caller.
type responseSink struct {
	server   *Server
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
	s.server.announceEnd(s.ctx)
	w.WriteHeader(status)
	return nil
}

// Write writes one chunk and flushes it if asked to.
func (s *responseSink) Write(data []byte, flush bool) error {
	w := s.ctx.ResponseWriter()
	if err := setWriteDeadline(s.ctx); err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return err
	}
	if flush {
		w.Flush()
	}
	return nil
}

// writeTime bounds each write to a caller that does not read.
const writeTime = 10 * time.Second

// setWriteDeadline bounds the next write to the caller.
func setWriteDeadline(ctx iris.Context) error {
	return http.NewResponseController(ctx.ResponseWriter().Naive()).SetWriteDeadline(time.Now().Add(writeTime))
}

// writeJSON writes an answer of the router itself.
func (s *Server) writeJSON(ctx iris.Context, v any) {
	s.announceEnd(ctx)
	err := setWriteDeadline(ctx)
	if err == nil {
		err = ctx.JSON(v)
	}
	if err != nil {
		s.Log.Debug("cannot write an answer", "error", err)
	}
}

// writeError ends an answer that was already begun with an error event, since its status can't be changed any more.
func (s *responseSink) writeError(call *sides.Call, result sides.Result) {
	text, err := json.Marshal(resultFailure(result).body(call))
	if err != nil {
		return
	}
	_ = s.Write([]byte("event: error\ndata: "+string(text)+"\n\n"), true)
}
