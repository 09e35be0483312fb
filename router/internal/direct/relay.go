package direct

import (
	"fmt"
	"net/http"
	"strconv"

	"rattantrack.dev/core/call"
	"rattantrack.dev/router/internal/upstream"
)

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *wholeAnswer) send(sink Sink) error {
	if err := sink.WriteHead(a.status, a.header, int64(len(a.body))); err != nil {
		return err
	}
	return sink.Write(a.body, false)
}

// orderError reports an event that does not follow the last one.
type orderError struct {
	last, got call.EventID
}

func (e *orderError) Error() string { return fmt.Sprintf("event %q follows event %q", e.got, e.last) }

// relay passes the events of one or several runs on as one stream.
type relay struct {
	sink   Sink
	headed bool
	// last is the id of the last event that the client has.
	last   call.EventID
	events int
}

// event passes an event on. An event that the client already has is left out.
func (r *relay) event(res *upstream.Response, e upstream.Event, flush bool) error {
	if e.ID != "" {
		have, err1 := strconv.ParseInt(string(r.last), 10, 64)
		got, err2 := strconv.ParseInt(string(e.ID), 10, 64)
		if err1 == nil && err2 == nil {
			if got <= have {
				return nil
			}
			if got != have+1 {
				return &orderError{last: r.last, got: e.ID}
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
		r.last = e.ID
	}
	r.events++
	return nil
}

// head begins the answer with the head of the first run; its length is not kept, since another run may go on.
func (r *relay) head(res *upstream.Response) error {
	if r.headed {
		return nil
	}
	r.headed = true
	return r.sink.WriteHead(res.StatusCode, res.Header, -1)
}

// end closes the stream.
func (r *relay) end(res *upstream.Response) error { return r.head(res) }
