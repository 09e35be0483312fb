package upstream

import (
	"bufio"
	"bytes"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/call"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// Event is one complete event of a stream with its raw bytes.
type Event struct {
	ID  call.EventID
	Raw []byte
	// Known reports that a line has a field that the format defines. Comment reports that all lines are comments.
	Known, Comment bool
}

// Events splits a stream into complete events (WHATWG HTML, section 9.2).
type Events struct {
	r   *bufio.Reader
	raw []byte
	id  call.EventID
}

// NewEvents returns the events of a body.
func NewEvents(body io.Reader) *Events {
	return &Events{r: bufio.NewReaderSize(body, readBufferBytes)}
}

// Buffered reports whether bytes of the next event have arrived.
func (e *Events) Buffered() bool { return e.r.Buffered() > 0 }

// Next returns the next complete event, which is valid until the next call. It returns io.EOF if the stream has ended
// after an event, and io.ErrUnexpectedEOF if it has ended within one.
func (e *Events) Next() (Event, error) {
	e.raw, e.id = e.raw[:0], ""
	known, comment := false, true
	for {
		line, err := e.line()
		if errors.Is(err, io.EOF) && len(e.raw) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			return Event{ID: e.id, Raw: e.raw, Known: known, Comment: comment}, nil
		}
		comment = comment && line[0] == ':'
		known = known || hasKnownField(line)
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.id = call.EventID(bytes.TrimSpace(value))
		}
	}
}

// fields are the fields of an event.
var fields = [][]byte{[]byte("data"), []byte("event"), []byte("id"), []byte("retry")}

func hasKnownField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	return slices.ContainsFunc(fields, func(f []byte) bool { return bytes.Equal(f, name) })
}

// line appends the next line to the event and returns it without its line ending.
func (e *Events) line() ([]byte, error) {
	start := len(e.raw)
	for {
		chunk, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, chunk...)
		if len(e.raw) > maxEventBytes {
			return nil, errors.Newf("event exceeds %d bytes", maxEventBytes)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return bytes.TrimRight(e.raw[start:], "\r\n"), err
	}
}
