package caller

import (
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
	"github.com/tidwall/gjson"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// bytesPerToken is the assumed number of JSON bytes of the messages per prompt token.
const bytesPerToken = 4

// chatPath is the path of chats at engines. It is the same as at the router.
const chatPath = "/v1/chat/completions"

// chat handles one turn of a chat.
func (s *Server) chat(ctx iris.Context) {
	body, f := s.body(ctx)
	if f != nil {
		s.fail(ctx, nil, f)
		return
	}
	if !gjson.ValidBytes(body) {
		s.fail(ctx, nil, &failure{status: http.StatusBadRequest, code: "malformed_body"})
		return
	}
	resolved, f := s.resolve(ctx, settings.ProfileName(gjson.GetBytes(body, "model").String()), settings.KindModel)
	if f != nil {
		s.fail(ctx, nil, f)
		return
	}
	call := resolved.call
	call.Method = http.MethodPost
	call.Path = chatPath
	call.Headers = []peer.Header{{Name: "Content-Type", Value: "application/json"}}
	call.Body = body
	call.Stream = gjson.GetBytes(body, "stream").Bool()
	call.PromptTokens = settings.Tokens(len(gjson.GetBytes(body, "messages").Raw) / bytesPerToken)
	call.Chat = chatID(ctx, body)
	call.Hint = settings.UpstreamID(ctx.GetHeader(headerHint))
	s.serve(ctx, resolved)
}

// chatID returns a hash that identifies a returning chat. The hash covers the team and either the caller's chat ID or the
// messages up to the first one of the user, which stay the same on later turns.
func chatID(ctx iris.Context, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(ctx.GetHeader(headerTeam) + "\x00")
	if id := ctx.GetHeader(headerChat); id != "" {
		_, _ = h.WriteString(id)
		return h.Sum64()
	}
	for _, m := range gjson.GetBytes(body, "messages").Array() {
		_, _ = h.WriteString(m.Raw)
		if m.Get("role").String() == "user" {
			break
		}
	}
	return h.Sum64()
}

// body reads a request's body up to the size limit.
func (s *Server) body(ctx iris.Context) ([]byte, *failure) {
	limited := http.MaxBytesReader(ctx.ResponseWriter().Naive(), ctx.Request().Body, s.Config.Limits.BodyBytes)
	body, err := io.ReadAll(limited)
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &failure{status: http.StatusRequestEntityTooLarge, code: "body_too_large"}
	}
	return nil, &failure{status: http.StatusBadRequest, code: "malformed_body"}
}
