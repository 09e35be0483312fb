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

// Answer is what a caller got.
type Answer struct {
	Status     int
	Outcome    string
	Code       string
	Upstream   string
	RetryAfter string
	Text       string
	Tokens     int
	Cached     int
	Prompt     int
	// Whole says that the answer came to its proper end.
	Whole bool
	// FirstToken and Took are the times until the first token and the end.
	FirstToken time.Duration
	Took       time.Duration
}

// Client calls a router as a caller does.
type Client struct {
	URL  string
	Team settings.TeamID
	HTTP *http.Client
}

// NewClient returns a client with connections of its own.
func NewClient(url string) *Client {
	return &Client{URL: url, Team: Team, HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

// Close ends idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Chat sends one turn of a chat and reads the answer.
func (c *Client) Chat(ctx context.Context, q ChatRequest) (Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return Answer{}, errors.Wrap(err, "encoding a chat")
	}
	return c.call(ctx, http.MethodPost, "/v1/chat/completions", body, nil)
}

// Plain calls a plain service.
func (c *Client) Plain(ctx context.Context, method string, profile settings.ProfileName, path, body string, header http.Header) (Answer, error) {
	return c.call(ctx, method, "/v1/services/"+string(profile)+path, []byte(body), header)
}

// Ticket asks for a ticket.
func (c *Client) Ticket(ctx context.Context, profile settings.ProfileName) (string, error) {
	a, err := c.call(ctx, http.MethodPost, "/v1/tickets?profile="+string(profile), nil, nil)
	if err != nil {
		return "", err
	}
	if a.Status != http.StatusOK {
		return "", errors.Newf("no ticket: %d %s", a.Status, a.Code)
	}
	return gjson.Get(a.Text, "ticket").String(), nil
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, header http.Header) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, errors.Wrap(err, "building a request")
	}
	// A test counts every send, so the transport must not repeat one.
	req.GetBody = nil
	if header != nil {
		req.Header = header.Clone()
	}
	req.Header.Set("Rattantrack-Team", string(c.Team))
	start := time.Now()
	res, err := c.HTTP.Do(req)
	if err != nil {
		return Answer{}, errors.Wrap(err, "calling a router")
	}
	defer res.Body.Close()
	a := Answer{
		Status:     res.StatusCode,
		Outcome:    res.Header.Get("Rattantrack-Outcome"),
		Upstream:   res.Header.Get("Rattantrack-Hint"),
		RetryAfter: res.Header.Get("Retry-After"),
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		err = a.readEvents(res.Body, start)
	} else {
		err = a.readBody(res.Body)
	}
	a.Took = time.Since(start)
	return a, err
}

func (a *Answer) readBody(r io.Reader) error {
	text, err := io.ReadAll(r)
	if err != nil {
		return errors.Wrap(err, "reading an answer")
	}
	a.Text = string(text)
	a.Code = gjson.Get(a.Text, "error.code").String()
	a.Cached = int(gjson.Get(a.Text, "usage.prompt_tokens_details.cached_tokens").Int())
	a.Whole = true
	return nil
}

func (a *Answer) readEvents(r io.Reader, start time.Time) error {
	scanner := bufio.NewScanner(r)
	var text strings.Builder
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Whole = true
			continue
		}
		if code := gjson.Get(data, "error.code"); code.Exists() {
			a.Code = code.String()
			a.Outcome = gjson.Get(data, "error.outcome").String()
		}
		if content := gjson.Get(data, "choices.0.delta.content").String(); content != "" {
			if a.Tokens == 0 {
				a.FirstToken = time.Since(start)
			}
			a.Tokens++
			text.WriteString(content)
		}
		if u := gjson.Get(data, "usage.prompt_tokens_details.cached_tokens"); u.Exists() {
			a.Cached = int(u.Int())
			a.Prompt = int(gjson.Get(data, "usage.prompt_tokens").Int())
		}
	}
	a.Text = text.String()
	return errors.Wrap(scanner.Err(), "reading events")
}
