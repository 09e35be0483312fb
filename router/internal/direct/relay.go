package direct

import (
	"fmt"
	"net/http"
	"strconv"

	"rattantrack.dev/core/attempt"
	"rattantrack.dev/core/call"
	"rattantrack.dev/router/internal/upstream"
)

// bufferedResponse is a response that was read to its end.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// eventOrderError reports an event that does not follow the last event that the client has.
type eventOrderError struct {
	last, got call.EventID
}

func (e *eventOrderError) Error() string {
	return fmt.Sprintf("event %q follows event %q", e.got, e.last)
}

// relay writes an answer to the client: the response of one run, or the events of one or several runs as one stream.
type relay struct {
	sink     Sink
	headSent bool
	// partial reports that the client has a part of a body, unnumbered that it has events without ids before the first one with an id.
	partial, unnumbered bool
	// lastEvent is the id of the last event that the client has.
	lastEvent call.EventID
	events    int
	// joined reports that an event of the present run was found to follow lastEvent, or that there is none to follow.
	joined bool
}

// delivered returns what the client has of its answer.
func (r *relay) delivered() attempt.Delivered {
	switch {
	case !r.headSent:
		return attempt.Nothing
	case r.partial || (r.unnumbered && r.lastEvent == ""):
		return attempt.Part
	}
	return attempt.Events
}

// beginRun prepares for the events of another run.
func (r *relay) beginRun() { r.joined = r.lastEvent == "" }

// event writes an event to the client. It skips an event that the client already has.
func (r *relay) event(res *upstream.Response, e upstream.Event, flush bool) error {
	if !r.follows(e) {
		return &eventOrderError{last: r.lastEvent, got: e.ID}
	}
	if r.has(e) {
		return nil
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
	r.unnumbered = r.unnumbered || (e.ID == "" && !e.Comment)
	r.events++
	return nil
}

// follows reports whether an event may come after the last one that the client has. Numbers must not leave a gap. Without an id, an
// event follows only those of its own run, and text that is no event follows none that have ids.
func (r *relay) follows(e upstream.Event) bool {
	if r.lastEvent == "" {
		return true
	}
	if e.ID == "" {
		return e.Comment || (e.Known && r.joined)
	}
	have, haveNumber := eventNumber(r.lastEvent)
	got, gotNumber := eventNumber(e.ID)
	ok := !haveNumber || (gotNumber && got <= have+1)
	r.joined = r.joined || ok
	return ok
}

// has reports whether the client already has an event.
func (r *relay) has(e upstream.Event) bool {
	have, haveNumber := eventNumber(r.lastEvent)
	got, gotNumber := eventNumber(e.ID)
	return haveNumber && gotNumber && got <= have
}

// eventNumber returns the number that an event id is, if it is one.
func eventNumber(id call.EventID) (int64, bool) {
	n, err := strconv.ParseInt(string(id), 10, 64)
	return n, err == nil
}

// head writes the response head of the first run, without its length, since another run may continue the stream.
func (r *relay) head(res *upstream.Response) error {
	if r.headSent {
		return nil
	}
	return r.writeHead(res.StatusCode, res.Header, -1)
}

func (r *relay) writeHead(status int, h http.Header, length int64) error {
	r.headSent = true
	return r.sink.WriteHead(status, h, length)
}

// end ends the stream; a stream without events still gets its head.
func (r *relay) end(res *upstream.Response) error { return r.head(res) }

// whole writes a response that was read to its end.
func (r *relay) whole(b *bufferedResponse) error {
	if err := r.writeHead(b.status, b.header, int64(len(b.body))); err != nil {
		return err
	}
	return r.sink.Write(b.body, false)
}

// beginBody writes the head and the first part of a body that is not read to its end yet.
func (r *relay) beginBody(res *upstream.Response, first []byte) error {
	r.partial = true
	if err := r.writeHead(res.StatusCode, res.Header, res.ContentLength); err != nil {
		return err
	}
	return r.sink.Write(first, false)
}
