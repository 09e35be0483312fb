package upstream

import (
	"bufio"
	"bytes"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
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
	r     *bufio.Reader
	raw   []byte
	id    call.EventID
	lease *memorybudget.Lease
	clock interface{ Now() clock.Instant }
	// held is what the lease holds for raw.
	held int64
}

// NewEvents returns the events of a body. An event that exceeds a buffer is part of what the lease holds, until Close.
func NewEvents(body io.Reader, lease *memorybudget.Lease, c interface{ Now() clock.Instant }) *Events {
	return &Events{r: bufio.NewReaderSize(body, readBufferBytes), lease: lease, clock: c}
}

// Close gives back the memory of the last event, which is not valid any more.
func (e *Events) Close() {
	e.raw = nil
	e.release()
}

func (e *Events) release() {
	e.lease.Shrink(e.held)
	e.held = 0
}

// Buffered reports whether bytes of the next event have arrived.
func (e *Events) Buffered() bool { return e.r.Buffered() > 0 }

// Next returns the next complete event, which is valid until the next call. It returns io.EOF if the stream has ended
// after an event, and io.ErrUnexpectedEOF if it has ended within one.
func (e *Events) Next() (Event, error) {
	if e.held > 0 {
		e.Close()
	}
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
		if err := e.grow(len(chunk)); err != nil {
			return nil, err
		}
		e.raw = append(e.raw, chunk...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		return bytes.TrimRight(e.raw[start:], "\r\n"), err
	}
}

// grow makes room for n more bytes of the event.
func (e *Events) grow(n int) error {
	need := len(e.raw) + n
	if need > maxEventBytes {
		return &SizeError{Part: PartEvent, Limit: maxEventBytes}
	}
	if need <= max(cap(e.raw), readBufferBytes) {
		return nil
	}
	size := min(max(need, 2*cap(e.raw)), maxEventBytes)
	if err := e.lease.Grow(e.clock.Now(), int64(size)); err != nil {
		return errors.Wrap(err, "reading an event")
	}
	grown := append(make([]byte, 0, size), e.raw...)
	e.release()
	e.raw, e.held = grown, int64(size)
	return nil
}
