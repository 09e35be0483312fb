package upstream

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// TestPartOfPrefixIsTakenForWhole guards against a prefix that is cut at the bound and imported as if it were complete.
func TestPartOfPrefixIsTakenForWhole(t *testing.T) {
	const limit = 4
	tests := []struct {
		body string
		ok   bool
	}{
		{"", true},
		{"abc", true},
		{"abcd", true},
		{"abcde", false},
		{strings.Repeat("a", 100), false},
	}
	for _, tt := range tests {
		got, err := readPrefix(strings.NewReader(tt.body), limit)
		var tooLong *PrefixTooLongError
		qt.Assert(t, errors.As(err, &tooLong), qt.Equals, !tt.ok, qt.Commentf("%q of %q is the prefix", got, tt.body))
		if tt.ok {
			qt.Assert(t, string(got), qt.Equals, tt.body)
		}
	}
}
