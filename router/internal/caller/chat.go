package caller

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/kataras/iris/v12"
	"github.com/tidwall/gjson"

	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/router/internal/requestbody"
)

// bytesPerToken is the assumed number of JSON bytes of the messages per prompt token.
const bytesPerToken = 4

// chatPath is the path of chats at engines. It is the same as at the router.
const chatPath = "/v1/chat/completions"

// chat handles one turn of a chat.
func (s *Server) chat(ctx iris.Context) {
	lease := s.Memory.Open()
	// The lease ends with the call on each way out, a panic too.
	defer lease.Close()
	body, f := s.body(ctx, lease)
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
	call.Body, call.Memory = body, lease
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
	// ForEach makes no list of the messages, which could take far more memory than the body.
	gjson.GetBytes(body, "messages").ForEach(func(_, m gjson.Result) bool {
		_, _ = h.WriteString(m.Raw)
		return m.Get("role").String() != "user"
	})
	return h.Sum64()
}

// body reads a request's body within the limits.
func (s *Server) body(ctx iris.Context, lease *memorybudget.Lease) ([]byte, *failure) {
	req := ctx.Request()
	w := ctx.ResponseWriter().Naive()
	err := lease.Grow(s.Clock.Now(), requestbody.HeadBytes(req))
	var body []byte
	if err == nil {
		limits := s.Config.Limits
		body, err = requestbody.Read(w, req, requestbody.Limits{Bytes: limits.BodyBytes, Time: limits.BodyTime}, lease, s.Clock)
	}
	if err == nil {
		return body, nil
	}
	s.Log.Info("body not read", "path", req.URL.Path, "error", err)
	requestbody.Abandon(w, req)
	f := requestbody.FailureOf(err)
	return nil, &failure{status: f.Status, code: f.Code, retryAfter: f.RetryAfter}
}
