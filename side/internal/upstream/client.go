package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// Sizes and times of the connection to the upstream.
const (
	pieceBytes    = 32 << 10
	maxEventBytes = 1 << 20
	idleLimit     = 30 * time.Second
	maxIdle       = 64
)

// NotSentError reports a request of which no byte reached the upstream.
type NotSentError struct {
	Cause error
}

func (e *NotSentError) Error() string { return "not handed over: " + e.Cause.Error() }

// Unwrap returns what kept the request from being handed over.
func (e *NotSentError) Unwrap() error { return e.Cause }

// CutError reports an answer that ended before its end.
type CutError struct {
	Cause error
}

func (e *CutError) Error() string { return "answer cut: " + e.Cause.Error() }

// Unwrap returns what cut the answer.
func (e *CutError) Unwrap() error { return e.Cause }

// Call is one request to the upstream.
type Call struct {
	Method  string
	Path    string
	Headers []peer.Header
	Body    []byte
}

// Usage is what an engine says of a finished answer.
type Usage struct {
	Prompt settings.Tokens
	Cached settings.Tokens
	Answer settings.Tokens
	Known  bool
}

// Sink takes the answer as it comes.
type Sink interface {
	Head(status int, headers []peer.Header) error
	Chunk(data []byte) error
}

// Client calls one upstream.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the upstream at a base URL.
func New(url string) *Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleLimit,
		DisableCompression:  true,
	}
	return &Client{url: strings.TrimSuffix(url, "/"), http: &http.Client{Transport: t, CheckRedirect: noRedirect}}
}

// noRedirect passes redirects on to the caller, since following one would run the request again.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// onceReader hides its bytes from the transport, which would otherwise replay a request that names an
// idempotency key when a connection breaks, and the upstream may run it twice.
type onceReader struct {
	io.Reader
}

// Run makes the call and passes the answer to sink; the error says how far the call came.
func (c *Client) Run(ctx context.Context, call Call, sink Sink) (Usage, error) {
	var handed atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { handed.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, call.Method, c.url+call.Path, onceReader{bytes.NewReader(call.Body)})
	if err != nil {
		return Usage{}, &NotSentError{Cause: err}
	}
	req.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		req.Body = http.NoBody
		// A request without a body could be replayed as well; an unknown length forbids that.
		if !safeMethod(call.Method) {
			req.Body = io.NopCloser(onceReader{bytes.NewReader(nil)})
			req.ContentLength = -1
		}
	}
	for _, h := range call.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	res, err := c.http.Do(req)
	if err != nil {
		if handed.Load() {
			return Usage{}, &CutError{Cause: err}
		}
		return Usage{}, &NotSentError{Cause: err}
	}
	defer res.Body.Close()
	if err := sink.Head(res.StatusCode, peer.EndToEndHeaders(res.Header, keepAll)); err != nil {
		return Usage{}, errors.Wrap(err, "passing the head on")
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return relayEvents(res.Body, sink)
	}
	return relayBody(res.Body, sink)
}

func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// keepAll drops no header of an answer but those of its connection.
func keepAll(string) bool { return false }

// relayBody passes a plain body on in pieces.
func relayBody(body io.Reader, sink Sink) (Usage, error) {
	piece := make([]byte, pieceBytes)
	var last []byte
	for {
		n, err := body.Read(piece)
		if n > 0 {
			last = bytes.Clone(piece[:n])
			if sinkErr := sink.Chunk(last); sinkErr != nil {
				return Usage{}, errors.Wrap(sinkErr, "passing a piece on")
			}
		}
		if errors.Is(err, io.EOF) {
			return usageOf(last), nil
		}
		if err != nil {
			return Usage{}, &CutError{Cause: err}
		}
	}
}

// relayEvents passes server-sent events on, one a chunk, and demands the closing event.
func relayEvents(body io.Reader, sink Sink) (Usage, error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	scanner.Split(splitEvents)
	var usage Usage
	for scanner.Scan() {
		event := bytes.Clone(scanner.Bytes())
		if u := usageOf(event); u.Known {
			usage = u
		}
		if err := sink.Chunk(event); err != nil {
			return usage, errors.Wrap(err, "passing an event on")
		}
		if bytes.HasPrefix(event, lastEvent) {
			return usage, nil
		}
	}
	err := scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return usage, &CutError{Cause: err}
}

var (
	eventEnd  = []byte("\n\n")
	lastEvent = []byte("data: [DONE]")
	dataStart = []byte("data: ")
	usageMark = []byte(`"usage":{`)
)

// splitEvents splits a stream after each blank line.
func splitEvents(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if i := bytes.Index(data, eventEnd); i >= 0 {
		end := i + len(eventEnd)
		return end, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, io.ErrUnexpectedEOF
	}
	return 0, nil, nil
}

func usageOf(text []byte) Usage {
	if !bytes.Contains(text, usageMark) {
		return Usage{}
	}
	usage := gjson.GetBytes(bytes.TrimPrefix(text, dataStart), "usage")
	return Usage{
		Prompt: settings.Tokens(usage.Get("prompt_tokens").Float()),
		Cached: settings.Tokens(usage.Get("prompt_tokens_details.cached_tokens").Float()),
		Answer: settings.Tokens(usage.Get("completion_tokens").Float()),
		Known:  usage.Exists(),
	}
}

// ChatBody returns the body of a chat request for the engine: its own name of the model, and where to go on.
func ChatBody(body []byte, model, resume string, offset uint32) ([]byte, error) {
	body, err := sjson.SetBytes(body, "model", model)
	if err != nil {
		return nil, errors.Wrap(err, "setting the model")
	}
	if offset == 0 {
		return body, nil
	}
	body, err = sjson.SetBytes(body, "resume.text", resume)
	if err != nil {
		return nil, errors.Wrap(err, "setting the text to resume from")
	}
	body, err = sjson.SetBytes(body, "resume.tokens", offset)
	return body, errors.Wrap(err, "setting the offset to resume from")
}
