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

// bytesPerToken estimates the length of a prompt from its text.
const bytesPerToken = 4

// chatPath is the path of chats at engines, the same as at the router.
const chatPath = "/v1/chat/completions"

// chat serves one turn of a chat.
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
	a, f := s.admit(ctx, settings.ProfileName(gjson.GetBytes(body, "model").String()), settings.KindModel)
	if f != nil {
		s.fail(ctx, nil, f)
		return
	}
	c := a.call
	c.Method = http.MethodPost
	c.Path = chatPath
	c.Headers = []peer.Header{{Name: "Content-Type", Value: "application/json"}}
	c.Body = body
	c.Stream = gjson.GetBytes(body, "stream").Bool()
	c.PromptTokens = settings.Tokens(len(gjson.GetBytes(body, "messages").Raw) / bytesPerToken)
	c.Chat = chatID(ctx, body)
	c.Hint = settings.UpstreamID(ctx.GetHeader(headerHint))
	s.serve(ctx, a)
}

// chatID identifies a returning chat: by the caller's word, or else by how the chat began.
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

// body reads a request's body within the limit.
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
