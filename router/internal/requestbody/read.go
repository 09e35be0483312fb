package requestbody

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/httplisten"
	"rattantrack.dev/core/memorybudget"
)

// firstBytes is the size of the first buffer.
const firstBytes = 4 << 10

// TooLargeError reports a body that exceeds the limit.
type TooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

func (e *TooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }

// TimeoutError reports a body that has not been received in time.
type TimeoutError struct {
	Limit time.Duration
}

func (e *TimeoutError) Error() string { return "body not received within " + e.Limit.String() }

// Limits are those on one body.
type Limits struct {
	// Bytes is the largest size, Time how long the client may take.
	Bytes int64
	Time  time.Duration
}

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// Read reads the body of a request, whose memory it takes from the lease. It returns a TooLargeError, a TimeoutError, an error of package
// memorybudget, or that of the connection. After an error the connection cannot carry another request.
func Read(w http.ResponseWriter, req *http.Request, limits Limits, lease *memorybudget.Lease, c Clock) ([]byte, error) {
	if req.ContentLength == 0 {
		return nil, nil
	}
	if req.ContentLength > limits.Bytes {
		return nil, &TooLargeError{Limit: limits.Bytes}
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(limits.Time)); err != nil {
		return nil, errors.Wrap(err, "setting the read deadline")
	}
	// A deadline in the past ends the read that waits for the client.
	lease.Receive(c.Now(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	r := &reader{body: req.Body, length: req.ContentLength, limit: limits.Bytes, lease: lease, clock: c}
	body, err := r.read()
	if evicted := lease.Received(); evicted != nil {
		return nil, evicted
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, &TimeoutError{Limit: limits.Time}
	}
	if err != nil {
		return nil, err
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, errors.Wrap(err, "clearing the read deadline")
	}
	httplisten.Serving(req.Context())
	return body, nil
}

// reader reads one body into a buffer that grows with what has arrived. A client cannot make it larger by announcing a length.
type reader struct {
	body io.Reader
	// length is the announced length, or -1.
	length, limit int64
	lease         *memorybudget.Lease
	clock         Clock
	buf           []byte
}

func (r *reader) read() ([]byte, error) {
	for {
		if len(r.buf) == cap(r.buf) {
			if err := r.grow(); err != nil {
				return nil, err
			}
		}
		n, err := r.body.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		r.lease.Progress(r.clock.Now(), n)
		if int64(len(r.buf)) > r.limit {
			return nil, &TooLargeError{Limit: r.limit}
		}
		if errors.Is(err, io.EOF) {
			return r.buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow replaces the buffer by one of twice the size. Both take memory until the old one is copied.
func (r *reader) grow() error {
	old := int64(cap(r.buf))
	size := min(max(firstBytes, 2*old), r.limit+1)
	// One more byte than announced lets the read at the end return io.EOF without another growth.
	if announced := r.length + 1; r.length > 0 && announced > old {
		size = min(size, announced)
	}
	if err := r.lease.Grow(r.clock.Now(), size); err != nil {
		return err
	}
	grown := make([]byte, len(r.buf), size)
	copy(grown, r.buf)
	r.buf = grown
	r.lease.Shrink(old)
	return nil
}
