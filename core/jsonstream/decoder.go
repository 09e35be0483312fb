package jsonstream

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// maxDepth bounds the nesting of a value that is skipped.
const maxDepth = 32

// Limits bounds a text.
type Limits struct {
	// Bytes bounds the whole text, and ValueBytes each value that is read at once, with the blanks before it.
	Bytes, ValueBytes int64
	// Elements bounds those of all arrays together, which may take more memory than their bytes.
	Elements int
}

// LimitError reports a text that exceeds a limit.
type LimitError struct {
	// Unit says what the limit counts.
	Unit  string
	Limit int64
}

func (e *LimitError) Error() string { return fmt.Sprintf("more than %d %s", e.Limit, e.Unit) }

// Decoder reads the values of one text.
type Decoder struct {
	json     *json.Decoder
	reader   *limitedReader
	elements int
}

// limitedReader fails where a text exceeds its limits.
type limitedReader struct {
	io.Reader
	limits Limits
	// rest is what may be read of the text, and restOfValue of the present value.
	rest, restOfValue int64
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.rest <= 0 {
		return r.readEnd(&LimitError{Unit: "bytes", Limit: r.limits.Bytes})
	}
	if r.restOfValue <= 0 {
		return r.readEnd(&LimitError{Unit: "bytes of one value", Limit: r.limits.ValueBytes})
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.rest, r.restOfValue)])
	r.rest -= int64(n)
	r.restOfValue -= int64(n)
	return n, err
}

// readEnd returns exceeded unless the text ends here.
func (r *limitedReader) readEnd(exceeded error) (int, error) {
	var b [1]byte
	if n, err := r.Reader.Read(b[:]); n == 0 && err != nil {
		return 0, err
	}
	return 0, exceeded
}

// Read reads a text that is one object. It calls field with the name of each field, whose value field must read or skip. It returns a
// LimitError if the text exceeds its limits.
func Read(r io.Reader, limits Limits, field func(d *Decoder, name string) error) error {
	reader := &limitedReader{Reader: r, limits: limits, rest: limits.Bytes}
	d := &Decoder{json: json.NewDecoder(reader), reader: reader}
	if err := d.object(field); err != nil {
		return err
	}
	if token, err := d.token(); err == nil {
		return errors.Newf("%v follows the object", token)
	} else if !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// token reads the next token. Each value begins with one, and has its own limit.
func (d *Decoder) token() (json.Token, error) {
	d.reader.restOfValue = d.reader.limits.ValueBytes
	return d.json.Token()
}

func (d *Decoder) object(field func(d *Decoder, name string) error) error {
	token, err := d.token()
	if err != nil {
		return unexpected(err)
	}
	if token != json.Delim('{') {
		return errors.Newf("%.40v in place of an object", token)
	}
	for d.more() {
		token, err := d.token()
		if err != nil {
			return unexpected(err)
		}
		name, ok := token.(string)
		if !ok {
			return errors.Newf("%v in place of a field's name", token)
		}
		if err := field(d, name); err != nil {
			return errors.Wrapf(err, "field %.40q", name)
		}
	}
	_, err = d.token()
	return unexpected(err)
}

// Array reads an array, for each of whose elements it calls element, which must read it. In place of an array there may be null.
func (d *Decoder) Array(element func() error) error {
	token, err := d.token()
	if err != nil {
		return unexpected(err)
	}
	if token == nil {
		return nil
	}
	if token != json.Delim('[') {
		return errors.Newf("%.40v in place of an array", token)
	}
	for d.more() {
		if d.elements++; d.elements > d.reader.limits.Elements {
			return &LimitError{Unit: "elements", Limit: int64(d.reader.limits.Elements)}
		}
		if err := element(); err != nil {
			return err
		}
	}
	_, err = d.token()
	return unexpected(err)
}

// Value reads one value.
func (d *Decoder) Value(into any) error {
	d.reader.restOfValue = d.reader.limits.ValueBytes
	return unexpected(d.json.Decode(into))
}

// Skip reads a value that nobody needs.
func (d *Decoder) Skip() error {
	for depth := 0; ; {
		token, err := d.token()
		if err != nil {
			return unexpected(err)
		}
		switch token {
		case json.Delim('['), json.Delim('{'):
			depth++
		case json.Delim(']'), json.Delim('}'):
			depth--
		}
		if depth > maxDepth {
			return &LimitError{Unit: "levels", Limit: maxDepth}
		}
		if depth == 0 {
			return nil
		}
	}
}

// more reports whether another element or field follows. An error shows when the next token is read.
func (d *Decoder) more() bool {
	d.reader.restOfValue = d.reader.limits.ValueBytes
	return d.json.More()
}

// unexpected returns the error of a text that ends within a value.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
