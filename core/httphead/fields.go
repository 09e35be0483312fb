package httphead

import "fmt"

// Bounds on the head of a response, the informational ones before it included.
const (
	MaxBytes = 64 << 10
	// MaxFields is several times what upstreams and the platform send.
	MaxFields = 256
)

// FieldsError reports a head with too many header fields.
type FieldsError struct {
	Limit int
}

func (e *FieldsError) Error() string { return fmt.Sprintf("more than %d header fields", e.Limit) }

// Fields counts the lines of a head as it is read. The zero value is ready for the head of a request.
type Fields struct {
	// Limit is the largest number of header fields.
	Limit int
	// Response makes informational heads count as part of the one that they precede.
	Response bool

	lines int
	// last is the last byte of the present line, 0 at its beginning. Carriage returns are left out.
	last byte
	// started reports that the present head has its first line, classed that the class of its status is known, informational which it is,
	// and ended that no other head follows.
	started, classed, informational, ended bool
}

// Begin prepares for the head of another message.
func (f *Fields) Begin() { *f = Fields{Limit: f.Limit, Response: f.Response} }

// Read counts the lines of the next part of a message. It returns a FieldsError if the head has too many of them.
func (f *Fields) Read(p []byte) error {
	for _, b := range p {
		if f.ended {
			return nil
		}
		f.read(b)
		// The first line has no field.
		if f.lines > f.Limit+1 {
			return &FieldsError{Limit: f.Limit}
		}
	}
	return nil
}

func (f *Fields) read(b byte) {
	switch {
	case b == '\r':
	case b != '\n':
		// The status follows the first space, or several.
		if f.Response && !f.started && !f.classed && f.last == ' ' && b != ' ' {
			f.classed, f.informational = true, b == '1'
		}
		f.last = b
	case f.last != 0:
		f.lines++
		f.last, f.started = 0, true
	case f.informational:
		f.started, f.classed, f.informational = false, false, false
	case f.started:
		f.ended = true
	}
}
