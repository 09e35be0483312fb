package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/httphead"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/responsehead"
	"rattantrack.dev/core/settings"
)

// Sizes and times of a connection.
const (
	readBufferBytes = 4 << 10
	// maxMismatched bounds the responses to other requests that are skipped while waiting for the right one.
	maxMismatched = 4
	// maxMismatchedBytes bounds the body of such a response.
	maxMismatchedBytes = 1 << 20
	// maxDrainBytes and drainTimeout bound the rest of a response that nobody needs.
	maxDrainBytes = 64 << 10
	drainTimeout  = 50 * time.Millisecond
	// dialTimeout bounds the dial of a connection within a region.
	dialTimeout = 300 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before the connection counts as broken.
	ackTimeout = 2500 * time.Millisecond
	// defaultIdleTime is how long an idle connection is kept if the upstream announces no idle time.
	defaultIdleTime = 12 * time.Second
	// idleMargin is how long before the end of the upstream's idle time an idle connection is given up.
	idleMargin = 700 * time.Millisecond
)

// Dialect reads the header fields of a response.
type Dialect interface {
	ReadAnswer(status int, h http.Header) call.Answer
}

// Request is a request to an upstream.
type Request struct {
	ID     call.ID
	Method string
	// URI holds the path and the query as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody reports whether the request has a body, which may be empty.
	HasBody bool
}

// Response is a response whose body is still to be read.
type Response struct {
	*http.Response
	Answer call.Answer
	conn   *headReader
	reader *bufio.Reader
	// requests are those of the connection, this one included.
	requests *requestIDs
}

// Drain discards the rest of the body, and reports whether it has ended, so that the connection can carry another request. It
// gives up after maxDrainBytes or drainTimeout: a new connection costs less.
func (r *Response) Drain() bool {
	if r.Unframed() {
		return false
	}
	if r.conn.SetReadDeadline(time.Now().Add(drainTimeout)) != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDrainBytes+1))
	return err == nil && n <= maxDrainBytes && r.conn.SetReadDeadline(time.Time{}) == nil
}

// MismatchedResponseError reports a response to another request on the connection.
type MismatchedResponseError struct {
	Want, Got call.ID
}

func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("response is for request %q, not for %q", e.Got, e.Want)
}

// NotSentError reports a request of which the upstream cannot have received anything.
type NotSentError struct {
	Cause error
}

func (e *NotSentError) Error() string { return "request not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// headReader is a connection that bounds the bytes and the fields read while a response head is parsed.
type headReader struct {
	net.Conn
	remaining   int
	fields      httphead.Fields
	readingHead bool
}

// beginHead prepares for the next head, of which some bytes may have been read already.
func (r *headReader) beginHead(buffered []byte) error {
	r.readingHead, r.remaining = true, httphead.MaxBytes
	r.fields = httphead.Fields{Limit: httphead.MaxFields, Response: true}
	return r.fields.Read(buffered)
}

func (r *headReader) Read(p []byte) (int, error) {
	if !r.readingHead {
		return r.Conn.Read(p)
	}
	if r.remaining <= 0 {
		return 0, &SizeError{Part: PartHead, Limit: httphead.MaxBytes}
	}
	n, err := r.Conn.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	if fieldsErr := r.fields.Read(p[:n]); fieldsErr != nil {
		return 0, fieldsErr
	}
	return n, err
}

// empty reports whether neither bytes nor the end of the connection wait to be read.
func (r *headReader) empty() bool {
	tcp, ok := r.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Conn is one connection to an instance.
type Conn struct {
	Instance members.Instance

	conn      *headReader
	reader    *bufio.Reader
	dialect   Dialect
	used      bool
	write     *bodyWrite
	requests  requestIDs
	idleSince time.Time
	idleTime  time.Duration
	// checked reports that the connection was checked for surplus bytes since it became idle.
	checked bool
}

func dial(ctx context.Context, inst members.Instance, dialect Dialect) (*Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         UserTimeout(ackTimeout),
	}
	conn, err := d.DialContext(ctx, "tcp", inst.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "dialling %s", inst.Address)
	}
	limited := &headReader{Conn: conn}
	return &Conn{
		Instance: inst,
		conn:     limited,
		reader:   bufio.NewReaderSize(limited, readBufferBytes),
		dialect:  dialect,
		idleTime: defaultIdleTime,
	}, nil
}

// UserTimeout returns a control function for a dialer that sets the TCP user timeout (RFC 5482): how long sent bytes may
// stay unacknowledged before the connection ends.
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.CombineErrors(err, set)
	}
}

// Close closes the connection, which makes the upstream drop the request on it.
func (c *Conn) Close() { _ = c.conn.Close() }

// nothingReceived reports whether nothing has arrived on an idle connection: neither its end nor bytes without a request.
func (c *Conn) nothingReceived() bool { return c.reader.Buffered() == 0 && c.conn.empty() }

// receivedSurplus reports whether bytes have arrived on a connection that has become idle since the last call. An upstream that
// sends more than its response may not stop before the connection closes.
func (c *Conn) receivedSurplus() bool {
	if c.checked {
		return false
	}
	c.checked = true
	return !c.nothingReceived()
}

// Do sends a request and returns the head of the response. Closing the connection ends the wait.
func (c *Conn) Do(r *Request) (*Response, error) {
	reused := c.used
	c.used = true
	c.requests.add(r.ID)
	head, err := encode(r)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if err := c.send(head, r.Body); err != nil {
		return nil, err
	}
	for range maxMismatched {
		res, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		answer := c.dialect.ReadAnswer(res.StatusCode, res.Header)
		// An upstream that cannot read a request refuses it without an id. A success without one is not an upstream's answer.
		if answer.ID == r.ID || (answer.ID == "" && !reused && res.StatusCode >= http.StatusBadRequest) {
			c.setIdleTime(answer.IdleTime)
			return &Response{Response: res, Answer: answer, conn: c.conn, reader: c.reader, requests: &c.requests}, nil
		}
		if err := skipResponse(res); err != nil {
			return nil, errors.CombineErrors(&MismatchedResponseError{Want: r.ID, Got: answer.ID}, err)
		}
	}
	return nil, &MismatchedResponseError{Want: r.ID}
}

// send writes the request. A long body is written in its own goroutine, since an upstream may respond before it has read
// the body.
func (c *Conn) send(head, body []byte) error {
	w := &bodyWrite{done: make(chan struct{})}
	c.write = w
	if len(body) <= readBufferBytes {
		defer close(w.done)
		var n int
		n, w.err = c.conn.Write(append(head, body...))
		if w.err != nil && n == 0 {
			return &NotSentError{Cause: w.err}
		}
		return errors.Wrap(w.err, "sending the request")
	}
	if n, err := c.conn.Write(head); err != nil {
		if n == 0 {
			return &NotSentError{Cause: err}
		}
		return errors.Wrap(err, "sending the head")
	}
	go func() {
		defer close(w.done)
		_, w.err = c.conn.Write(body)
	}()
	return nil
}

// readHead reads the head of the next response that is not informational.
func (c *Conn) readHead(method string) (*http.Response, error) {
	defer func() { c.conn.readingHead = false }()
	// What is buffered can be read without an error.
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.conn.beginHead(buffered); err != nil {
		return nil, errors.Wrap(err, "reading the response")
	}
	for {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "reading the response")
		}
		if err := responsehead.Check(res); err != nil {
			return nil, err
		}
		if embedsHead(res) {
			return nil, &EmbeddedAnswerError{}
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if isUnframed(res) {
			res.Body = &unframedBody{ReadCloser: res.Body, write: c.write}
		}
		return res, nil
	}
}

func skipResponse(res *http.Response) error {
	if isUnframed(res) {
		return errors.New("the response ends with its connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxMismatchedBytes))
	if err != nil {
		return err
	}
	if n == maxMismatchedBytes || res.Close {
		return errors.New("the connection cannot carry another response")
	}
	return nil
}

func (c *Conn) setIdleTime(t time.Duration) {
	if t > 0 {
		c.idleTime = max(t-idleMargin, t/2)
	}
}

// reusable reports whether the connection can carry another request after a complete response.
func (c *Conn) reusable(res *Response) bool {
	select {
	case <-c.write.done:
	default:
		return false
	}
	return c.write.err == nil && !res.Close && c.reader.Buffered() == 0
}

// encode returns the request line and the header fields.
func encode(r *Request) ([]byte, error) {
	var buf bytes.Buffer
	buf.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.HasBody {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	if err := r.Header.Write(&buf); err != nil {
		return nil, errors.Wrap(err, "encoding the header")
	}
	buf.WriteString("\r\n")
	return buf.Bytes(), nil
}

// fresh reports whether the connection has been idle for less than the given fraction of its idle time and is intact.
func (c *Conn) fresh(now time.Time, fraction float64) bool {
	return now.Sub(c.idleSince) < time.Duration(float64(c.idleTime)*fraction) && c.nothingReceived()
}

// Key identifies the connections to one incarnation of an instance.
type Key struct {
	ID          settings.UpstreamID
	Address     string
	Incarnation members.Incarnation
}

func keyOf(inst members.Instance) Key {
	return Key{ID: inst.ID, Address: inst.Address, Incarnation: inst.Incarnation}
}
