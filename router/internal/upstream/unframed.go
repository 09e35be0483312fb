package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// bodyWrite is the write of a request's body. err is valid once done is closed.
type bodyWrite struct {
	done chan struct{}
	err  error
}

// UnfinishedWriteError reports an answer that ended with its connection, while the request's body was still being written or after that
// had failed.
type UnfinishedWriteError struct {
	// Cause is the error of the write, nil if it has not ended.
	Cause error
}

func (e *UnfinishedWriteError) Error() string {
	if e.Cause == nil {
		return "the response ended while the request was being written"
	}
	return "the response ended after writing the request failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnfinishedWriteError) Unwrap() error { return e.Cause }

// unframedBody is a body that ends with its connection. The kernel reports a reset once, so that a write may have consumed the report and
// the reader sees the end alone.
type unframedBody struct {
	io.ReadCloser
	write *bodyWrite
}

func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// An upstream may answer before it has read the request.
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	select {
	case <-b.write.done:
		if b.write.err != nil {
			return n, &UnfinishedWriteError{Cause: b.write.err}
		}
		return n, io.EOF
	case <-timer.C:
		return n, &UnfinishedWriteError{}
	}
}

// Unframed reports whether nothing but the end of the connection marks the end of the response.
func (r *Response) Unframed() bool { return isUnframed(r.Response) }

// isUnframed reports whether a response has neither a length nor chunks.
func isUnframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}
