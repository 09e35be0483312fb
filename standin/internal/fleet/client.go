package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"rattantrack.dev/core/settings"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of a chat request.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens,omitempty"`
}

// Response is the response to a call, with its body as read by the client.
type Response struct {
	Status       int
	Outcome      string
	Code         string
	Upstream     string
	RetryAfter   string
	Text         string
	Tokens       int
	CachedTokens int
	PromptTokens int
	// Complete reports whether the whole response has arrived; a stream is complete once its end marker has.
	Complete bool
	// TimeToFirstToken is the time from the call to the first token of a stream.
	TimeToFirstToken time.Duration
	// Duration is the time from the call to the end of the response.
	Duration time.Duration
}

// Client sends calls to a router.
type Client struct {
	URL  string
	Team settings.TeamID
	HTTP *http.Client
}

// NewClient returns a client with its own connection pool.
func NewClient(url string) *Client {
	return &Client{URL: url, Team: Team, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Chat sends one turn of a chat and reads the response.
func (c *Client) Chat(ctx context.Context, request ChatRequest) (Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Response{}, errors.Wrap(err, "encoding a chat")
	}
	return c.call(ctx, http.MethodPost, "/v1/chat/completions", body, nil)
}

// CallPlain calls a plain service.
func (c *Client) CallPlain(ctx context.Context, method string, profile settings.ProfileName, path, body string, header http.Header,
) (Response, error) {
	return c.call(ctx, method, "/v1/services/"+string(profile)+path, []byte(body), header)
}

// RequestTicket requests an idempotency ticket for a profile.
func (c *Client) RequestTicket(ctx context.Context, profile settings.ProfileName) (string, error) {
	response, err := c.call(ctx, http.MethodPost, "/v1/tickets?profile="+string(profile), nil, nil)
	if err != nil {
		return "", err
	}
	if response.Status != http.StatusOK {
		return "", errors.Newf("no ticket: status %d, code %s", response.Status, response.Code)
	}
	return gjson.Get(response.Text, "ticket").String(), nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, "building a request")
	}
	// Tests count the requests that are sent, so the transport must not resend one: without GetBody it cannot.
	req.GetBody = nil
	if header != nil {
		req.Header = header.Clone()
	}
	req.Header.Set("Rattantrack-Team", string(c.Team))
	start := time.Now()
	httpRes, err := c.HTTP.Do(req)
	if err != nil {
		return Response{}, errors.Wrap(err, "calling a router")
	}
	defer httpRes.Body.Close()
	response := Response{
		Status:     httpRes.StatusCode,
		Outcome:    httpRes.Header.Get("Rattantrack-Outcome"),
		Upstream:   httpRes.Header.Get("Rattantrack-Hint"),
		RetryAfter: httpRes.Header.Get("Retry-After"),
	}
	if strings.HasPrefix(httpRes.Header.Get("Content-Type"), "text/event-stream") {
		err = response.readEvents(httpRes.Body, start)
	} else {
		err = response.readBody(httpRes.Body)
	}
	response.Duration = time.Since(start)
	return response, err
}

func (r *Response) readBody(body io.Reader) error {
	text, err := io.ReadAll(body)
	if err != nil {
		return errors.Wrap(err, "reading a response body")
	}
	r.Text = string(text)
	r.Code = gjson.Get(r.Text, "error.code").String()
	r.CachedTokens = int(gjson.Get(r.Text, "usage.prompt_tokens_details.cached_tokens").Int())
	r.Complete = true
	return nil
}

func (r *Response) readEvents(body io.Reader, start time.Time) error {
	scanner := bufio.NewScanner(body)
	var text strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			continue
		}
		if code := gjson.Get(data, "error.code"); code.Exists() {
			r.Code = code.String()
			r.Outcome = gjson.Get(data, "error.outcome").String()
		}
		if content := gjson.Get(data, "choices.0.delta.content").String(); content != "" {
			if r.Tokens == 0 {
				r.TimeToFirstToken = time.Since(start)
			}
			r.Tokens++
			text.WriteString(content)
		}
		if u := gjson.Get(data, "usage.prompt_tokens_details.cached_tokens"); u.Exists() {
			r.CachedTokens = int(u.Int())
			r.PromptTokens = int(gjson.Get(data, "usage.prompt_tokens").Int())
		}
	}
	r.Text = text.String()
	return errors.Wrap(scanner.Err(), "reading events")
}
