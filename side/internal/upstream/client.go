package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/httphead"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// Sizes and times of the connections to the upstream.
const (
	readBufferBytes = 32 << 10
	maxEventBytes   = 1 << 20
	firstEventBytes = 4 << 10
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 64
)

// NotSentError reports a request of which no byte was sent to the upstream.
type NotSentError struct {
	Cause error
}

func (e *NotSentError) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the reason why the request was not sent.
func (e *NotSentError) Unwrap() error { return e.Cause }

// TruncatedError reports a request that may have been sent and whose answer is missing or incomplete.
type TruncatedError struct {
	Cause error
}

func (e *TruncatedError) Error() string { return "answer cut: " + e.Cause.Error() }

// Unwrap returns the reason why the answer is incomplete.
func (e *TruncatedError) Unwrap() error { return e.Cause }

// Call is one request to the upstream.
type Call struct {
	Method  string
	Path    string
	Headers []peer.Header
	Body    []byte
	// Memory is what the call holds, nil for no bound.
	Memory *memorybudget.Lease
}

// Usage is the token usage that an engine reports for a finished answer.
type Usage struct {
	Prompt settings.Tokens
	Cached settings.Tokens
	Answer settings.Tokens
	Known  bool
}

// Sink receives the answer as it arrives.
type Sink interface {
	Head(status int, headers []peer.Header) error
	Chunk(data []byte) error
}

// Client sends requests to one upstream.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client for the upstream at a base URL.
func New(url string) *Client {
	t := &http.Transport{
		DialContext:         dialUpstream,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &Client{url: strings.TrimSuffix(url, "/"), http: &http.Client{Transport: httphead.NewTransport(t), CheckRedirect: noRedirect}}
}

// noRedirect returns redirects to the caller, since following one would run the request again.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// onceReader hides the type of a body from net/http, so that the transport cannot rewind it. The transport would
// otherwise replay a request with an idempotency key on a broken connection, and the upstream might run it twice.
type onceReader struct {
	io.Reader
}

// Run sends the call and passes the answer to sink. A NotSentError means that nothing was sent, a TruncatedError that the
// call may have run.
func (c *Client) Run(ctx context.Context, call Call, sink Sink) (Usage, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.url+call.Path, onceReader{bytes.NewReader(call.Body)})
	if err != nil {
		return Usage{}, &NotSentError{Cause: err}
	}
	req.ContentLength = int64(len(call.Body))
	if len(call.Body) == 0 {
		req.Body = http.NoBody
		// The transport could replay a request without a body as well; an unknown length prevents that.
		if !isSafeMethod(call.Method) {
			req.Body = io.NopCloser(onceReader{bytes.NewReader(nil)})
			req.ContentLength = -1
		}
	}
	for _, h := range call.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	res, sent, err := c.do(req)
	if err != nil {
		if sent {
			return Usage{}, &TruncatedError{Cause: err}
		}
		return Usage{}, &NotSentError{Cause: err}
	}
	defer res.Body.Close()
	if err := sink.Head(res.StatusCode, peer.EndToEndHeaders(res.Header, dropNone)); err != nil {
		return Usage{}, errors.Wrap(err, "forwarding the head")
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return relayEvents(res.Body, sink, call.Memory)
	}
	return relayBody(res.Body, sink)
}

func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// dropNone selects no header to drop.
func dropNone(string) bool { return false }

// relayBody passes a body that is not an event stream to sink in chunks.
func relayBody(body io.Reader, sink Sink) (Usage, error) {
	buf := make([]byte, readBufferBytes)
	var chunk []byte
	for {
		n, err := body.Read(buf)
		if n > 0 {
			chunk = bytes.Clone(buf[:n])
			if sinkErr := sink.Chunk(chunk); sinkErr != nil {
				return Usage{}, errors.Wrap(sinkErr, "forwarding a chunk")
			}
		}
		if errors.Is(err, io.EOF) {
			return parseUsage(chunk), nil
		}
		if err != nil {
			return Usage{}, &TruncatedError{Cause: err}
		}
	}
}

// relayEvents passes server-sent events to sink, one per chunk, and fails if the final [DONE] event is missing.
func relayEvents(body io.Reader, sink Sink, lease *memorybudget.Lease) (Usage, error) {
	memory := &eventMemory{lease: lease}
	defer memory.close()
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, firstEventBytes), maxEventBytes)
	scanner.Split(memory.split)
	var usage Usage
	for scanner.Scan() {
		event := bytes.Clone(scanner.Bytes())
		if u := parseUsage(event); u.Known {
			usage = u
		}
		if err := sink.Chunk(event); err != nil {
			return usage, errors.Wrap(err, "forwarding an event")
		}
		if bytes.HasPrefix(event, doneEvent) {
			return usage, nil
		}
	}
	err := scanner.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return usage, &TruncatedError{Cause: err}
}

var (
	eventEnd   = []byte("\n\n")
	doneEvent  = []byte("data: [DONE]")
	dataPrefix = []byte("data: ")
	usageField = []byte(`"usage":{`)
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

// eventMemory makes a lease hold the buffer of a stream's events, apart from its first bytes.
type eventMemory struct {
	lease *memorybudget.Lease
	held  int64
}

// split works as splitEvents, and fails if there is no memory for more of an unfinished event.
func (m *eventMemory) split(data []byte, atEOF bool) (advance int, token []byte, err error) {
	advance, token, err = splitEvents(data, atEOF)
	if err != nil || token != nil || len(data) < firstEventBytes {
		return advance, token, err
	}
	// A scanner doubles its buffer, and keeps it.
	if more := min(2*int64(len(data)), maxEventBytes) - m.held; more > 0 {
		if err := m.lease.Grow(clock.Boot{}.Now(), more); err != nil {
			return 0, nil, err
		}
		m.held += more
	}
	return advance, token, nil
}

func (m *eventMemory) close() { m.lease.Shrink(m.held) }

func parseUsage(text []byte) Usage {
	if !bytes.Contains(text, usageField) {
		return Usage{}
	}
	usage := gjson.GetBytes(bytes.TrimPrefix(text, dataPrefix), "usage")
	return Usage{
		Prompt: settings.Tokens(usage.Get("prompt_tokens").Float()),
		Cached: settings.Tokens(usage.Get("prompt_tokens_details.cached_tokens").Float()),
		Answer: settings.Tokens(usage.Get("completion_tokens").Float()),
		Known:  usage.Exists(),
	}
}

// ChatBody returns the body of a chat request for the engine: with the engine's name of the model, and with the text and
// offset to resume from.
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
