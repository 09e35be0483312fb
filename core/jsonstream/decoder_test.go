package jsonstream

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

var testLimits = Limits{Bytes: 1 << 20, ValueBytes: 4 << 10, Elements: 1000}

// endless repeats a text and counts what is read of it.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = e.text[(e.read+i)%len(e.text)]
	}
	e.read += len(p)
	return len(p), nil
}

// readList returns the texts in the field "list", the only one that is not skipped.
func readList(r io.Reader) ([]string, error) {
	var list []string
	err := Read(r, testLimits, func(d *Decoder, name string) error {
		if name != "list" {
			return d.Skip()
		}
		return d.Array(func() error {
			var text string
			err := d.Value(&text)
			list = append(list, text)
			return err
		})
	})
	return list, err
}

// TestTextWithoutEndIsKept guards against reading more than a limit allows, whatever comes.
func TestTextWithoutEndIsKept(t *testing.T) {
	tests := []struct {
		name, before, text string
		unit               string
		limit              int64
	}{
		{"blanks", ``, " ", "bytes of one value", testLimits.ValueBytes},
		{"blanks of an array", `{"list":[`, "\n", "bytes of one value", testLimits.ValueBytes},
		{"blanks after an element", `{"list":["a"`, " ", "bytes of one value", testLimits.ValueBytes},
		{"blanks after the object", `{}`, " ", "bytes of one value", testLimits.ValueBytes},
		{"one text", `{"list":["`, "x", "bytes of one value", testLimits.ValueBytes},
		{"one name", `{"`, "x", "bytes of one value", testLimits.ValueBytes},
		{"one skipped text", `{"other":"`, "x", "bytes of one value", testLimits.ValueBytes},
		{"elements", `{"list":[`, `"a",`, "elements", int64(testLimits.Elements)},
		{"skipped elements", `{"other":[`, `0,`, "bytes", testLimits.Bytes},
		{"nested", `{"other":`, `[`, "levels", maxDepth},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			e := &endless{text: tt.text}
			_, err := readList(io.MultiReader(strings.NewReader(tt.before), e))
			var limitErr *LimitError
			c.Assert(errors.As(err, &limitErr), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(limitErr, qt.DeepEquals, &LimitError{Unit: tt.unit, Limit: tt.limit})
			c.Assert(int64(e.read) <= testLimits.Bytes+1, qt.IsTrue, qt.Commentf("%d bytes were read", e.read))
		})
	}
}

// TestTextWithinLimitsIsRefused guards against limits that count what has been read ahead.
func TestTextWithinLimitsIsRefused(t *testing.T) {
	c := qt.New(t)
	want := make([]string, testLimits.Elements)
	for i := range want {
		want[i] = strings.Repeat("x", i)
	}
	list, err := json.Marshal(want)
	c.Assert(err, qt.IsNil)
	text := `{"other":{"a":[1,{"b":null}]},"list":` + string(list) + `,"more":"text"}` + "\n"
	got, err := readList(strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, want)
	got, err = readList(strings.NewReader(`{"list":null}`))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 0)
}

// TestBrokenTextIsRead guards against taking a part for the whole.
func TestBrokenTextIsRead(t *testing.T) {
	for _, text := range []string{``, `[]`, `{"list":["a"`, `{"list":["a"]`, `{"list":"a"}`, `{"list":[1]}`, `{"other":[`, `{} {}`, `{"list":["a"]]`} {
		_, err := readList(strings.NewReader(text))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf(text))
	}
}
