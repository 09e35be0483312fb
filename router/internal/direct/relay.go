package direct

import (
	"fmt"
	"net/http"
	"strconv"

	"rattantrack.dev/core/call"
	"rattantrack.dev/router/internal/upstream"
)

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (b *bufferedResponse) send(sink Sink) error {
	if err := sink.WriteHead(b.status, b.header, int64(len(b.body))); err != nil {
		return err
	}
	return sink.Write(b.body, false)
}

// eventOrderError reports an event whose id does not follow that of the last event.
type eventOrderError struct {
	last, got call.EventID
}

func (e *eventOrderError) Error() string {
	return fmt.Sprintf("event %q follows event %q", e.got, e.last)
}

// relay writes the events of one or several runs to the client as one stream.
type relay struct {
	sink     Sink
	headSent bool
	// lastEvent is the id of the last event that the client has.
	lastEvent call.EventID
	events    int
}

// event writes an event to the client. It skips an event that the client already has.
func (r *relay) event(res *upstream.Response, e upstream.Event, flush bool) error {
	if e.ID != "" {
		have, err1 := strconv.ParseInt(string(r.lastEvent), 10, 64)
		got, err2 := strconv.ParseInt(string(e.ID), 10, 64)
		if err1 == nil && err2 == nil {
			if got <= have {
				return nil
			}
			if got != have+1 {
				return &eventOrderError{last: r.lastEvent, got: e.ID}
			}
		}
	}
	if err := r.head(res); err != nil {
		return err
	}
	if err := r.sink.Write(e.Raw, flush); err != nil {
		return err
	}
	if e.ID != "" {
		r.lastEvent = e.ID
	}
	r.events++
	return nil
}

// head writes the response head of the first run, without its length, since another run may continue the stream.
func (r *relay) head(res *upstream.Response) error {
	if r.headSent {
		return nil
	}
	r.headSent = true
	return r.sink.WriteHead(res.StatusCode, res.Header, -1)
}

// end ends the stream; a stream without events still gets its head.
func (r *relay) end(res *upstream.Response) error { return r.head(res) }
