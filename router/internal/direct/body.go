package direct

import (
	"context"
	"fmt"
	"io"
	"net"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/members"
	"rattantrack.dev/router/internal/upstream"
)

// bodySizeError reports a failure response whose body is larger than the router buffers.
type bodySizeError struct {
	limit int
}

func (e *bodySizeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.limit) }

// readBounded reads at most limit bytes, and fewer if the request gets no more memory; whole reports whether the body ends within them.
func (ex *exchange) readBounded(r io.Reader, limit int) (body []byte, whole bool, err error) {
	for len(body) <= limit {
		if len(body) == cap(body) {
			size := min(max(firstBufferBytes, 2*cap(body)), limit+1)
			if ex.Memory.Grow(ex.dispatcher.Clock.Now(), int64(size)) != nil {
				return body, false, nil
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			ex.Memory.Shrink(int64(cap(body)))
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, len(body) <= limit, nil
		}
		if err != nil {
			return body, false, err
		}
	}
	return body, false, nil
}

// firstBufferBytes is the size of the first buffer of a response.
const firstBufferBytes = 4 << 10

// relayBody relays a response that is not a stream. A small one is read completely first.
func (ex *exchange) relayBody(
	ctx context.Context, inst members.Instance, res *upstream.Response, timer *stallTimer,
) (attempt.Ending, bool) {
	body, whole, err := ex.readBounded(res.Body, maxBufferedBytes)
	passable := len(body)
	switch {
	case err != nil:
	case whole:
		err = res.CheckBody(body)
	default:
		passable, err = res.CheckPart(body)
	}
	if err != nil {
		return ex.interrupted(ctx, inst, err), false
	}
	if whole {
		if err := ex.relay.whole(&bufferedResponse{status: res.StatusCode, header: res.Header, body: body}); err != nil {
			return attempt.ClientGone, true
		}
		return attempt.Complete, true
	}
	// No other run can continue a body, so this one is not given up from here on.
	if timer.stop() {
		return ex.interrupted(ctx, inst, net.ErrClosed), false
	}
	if err := ex.relay.beginBody(res, body[:passable]); err != nil {
		return attempt.ClientGone, false
	}
	return ex.relayRest(ctx, inst, res, body[passable:])
}

// restBufferBytes is the size of the buffer for a body that is relayed in parts.
const restBufferBytes = 32 << 10

// relayRest relays the part of a body that has not been buffered, after the end of the buffered part, which has been held back.
func (ex *exchange) relayRest(
	ctx context.Context, inst members.Instance, res *upstream.Response, heldBack []byte,
) (attempt.Ending, bool) {
	buf := make([]byte, restBufferBytes)
	held := copy(buf, heldBack)
	for {
		n, err := res.Body.Read(buf[held:])
		part := buf[:held+n]
		ended := errors.Is(err, io.EOF)
		passable := len(part)
		switch {
		case ended:
			err = res.CheckBody(part)
		case err == nil:
			passable, err = res.CheckPart(part)
		}
		if err != nil {
			return ex.interrupted(ctx, inst, err), false
		}
		if passable > 0 {
			if err := ex.relay.sink.Write(part[:passable], false); err != nil {
				return attempt.ClientGone, false
			}
		}
		if ended {
			return attempt.Complete, true
		}
		held = copy(buf, part[passable:])
	}
}
