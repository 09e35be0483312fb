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
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// Sizes and times of a connection.
const (
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 64 << 10
	// maxForeign bounds the answers to other requests that are skipped before the one that is waited for.
	maxForeign = 4
	// maxForeignBytes bounds the body of such an answer.
	maxForeignBytes = 1 << 20
	// dialTime is how long a connection may take to be made within a region.
	dialTime = 300 * time.Millisecond
	// silentTime is how long sent bytes may stay unacknowledged; then the path is taken as dead.
	silentTime = 2500 * time.Millisecond
	// defaultIdleTime is how long an unused connection is kept where the upstream names no time.
	defaultIdleTime = 12 * time.Second
	// idleMargin is how long before the upstream's own time an unused connection is given up.
	idleMargin = 700 * time.Millisecond
)

// Dialect reads what an upstream says in its header fields.
type Dialect interface {
	ReadAnswer(status int, h http.Header) call.Answer
}

// Request is a request as it is sent to an upstream.
type Request struct {
	ID     call.ID
	Method string
	// URI is the path and the query, as the client sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody says that the client sent a body, which may be empty.
	HasBody bool
}

// Response is an answer whose body is still to be read.
type Response struct {
	*http.Response
	Answer call.Answer
}

// ForeignAnswerError reports an answer to another request on the connection.
type ForeignAnswerError struct {
	Want, Got call.ID
}

func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("the answer is for request %q and not for %q", e.Got, e.Want)
}

// NotSentError reports a request of which the upstream cannot have read anything.
type NotSentError struct {
	Cause error
}

func (e *NotSentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns why it was not sent.
func (e *NotSentError) Unwrap() error { return e.Cause }

// headReader bounds what is read while a head is parsed.
type headReader struct {
	net.Conn
	left int
	head bool
}

func (r *headReader) Read(p []byte) (int, error) {
	if !r.head {
		return r.Conn.Read(p)
	}
	if r.left <= 0 {
		return 0, errors.Newf("the head exceeds %d bytes", maxHeadBytes)
	}
	n, err := r.Conn.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// Conn is one connection to an instance.
type Conn struct {
	Instance members.Instance

	conn    *headReader
	reader  *bufio.Reader
	dialect Dialect
	used    bool
	// written is closed when the request has been written whole.
	written   chan struct{}
	idleSince time.Time
	idleTime  time.Duration
}

func dial(ctx context.Context, i members.Instance, dialect Dialect) (*Conn, error) {
	d := net.Dialer{
		Timeout:         dialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control:         UserTimeout(silentTime),
	}
	conn, err := d.DialContext(ctx, "tcp", i.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "dialling %s", i.Address)
	}
	head := &headReader{Conn: conn}
	return &Conn{
		Instance: i,
		conn:     head,
		reader:   bufio.NewReaderSize(head, readBufferBytes),
		dialect:  dialect,
		idleTime: defaultIdleTime,
	}, nil
}

// UserTimeout returns a dialer's control function that ends connections whose bytes stay unacknowledged for too long
// (RFC 5482).
func UserTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.CombineErrors(err, set)
	}
}

// Close ends the connection; the upstream drops the request that runs on it.
func (c *Conn) Close() { _ = c.conn.Close() }

// quiet reports whether nothing has arrived on an unused connection: neither an end nor bytes of no request.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.conn.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Do sends a request and returns the head of its answer. Closing the connection ends the wait.
func (c *Conn) Do(r *Request) (*Response, error) {
	reused := c.used
	c.used = true
	head, err := encode(r)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	if err := c.send(head, r.Body); err != nil {
		return nil, err
	}
	for range maxForeign {
		res, err := c.readHead(r.Method)
		if err != nil {
			return nil, err
		}
		answer := c.dialect.ReadAnswer(res.StatusCode, res.Header)
		if answer.ID == r.ID || (answer.ID == "" && !reused) {
			c.noteIdleTime(answer.IdleTime)
			return &Response{Response: res, Answer: answer}, nil
		}
		if err := skip(res); err != nil {
			return nil, errors.CombineErrors(&ForeignAnswerError{Want: r.ID, Got: answer.ID}, err)
		}
	}
	return nil, &ForeignAnswerError{Want: r.ID}
}

// send writes the request. A long body is written beside the reading, since an upstream may answer before it has read
// the body.
func (c *Conn) send(head, body []byte) error {
	c.written = make(chan struct{})
	if len(body) <= readBufferBytes {
		n, err := c.conn.Write(append(head, body...))
		close(c.written)
		if err != nil && n == 0 {
			return &NotSentError{Cause: err}
		}
		return errors.Wrap(err, "sending the request")
	}
	if n, err := c.conn.Write(head); err != nil {
		if n == 0 {
			return &NotSentError{Cause: err}
		}
		return errors.Wrap(err, "sending the head")
	}
	written := c.written
	go func() {
		// A failed write shows as the end of the answer; the connection is then not used again.
		if _, err := c.conn.Write(body); err == nil {
			close(written)
		}
	}()
	return nil
}

// readHead reads the head of the next final answer.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.conn.head, c.conn.left = true, maxHeadBytes
	defer func() { c.conn.head = false }()
	for {
		res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "reading the answer")
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

func skip(res *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxForeignBytes))
	if err != nil {
		return err
	}
	if n == maxForeignBytes || res.Close {
		return errors.New("no further answer can follow")
	}
	return nil
}

func (c *Conn) noteIdleTime(t time.Duration) {
	if t > 0 {
		c.idleTime = max(t-idleMargin, t/2)
	}
}

// reusable reports whether another request can follow a whole answer.
func (c *Conn) reusable(res *Response) bool {
	select {
	case <-c.written:
	default:
		return false
	}
	return !res.Close && c.reader.Buffered() == 0
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

// fresh reports whether the connection may be used for a request that tolerates the given part of its idle time.
func (c *Conn) fresh(now time.Time, part float64) bool {
	return now.Sub(c.idleSince) < time.Duration(float64(c.idleTime)*part) && c.quiet()
}

// Key identifies the connections to one life of an instance.
type Key struct {
	ID          settings.UpstreamID
	Address     string
	Incarnation members.Incarnation
}

func keyOf(i members.Instance) Key {
	return Key{ID: i.ID, Address: i.Address, Incarnation: i.Incarnation}
}
