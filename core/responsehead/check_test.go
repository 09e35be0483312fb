package responsehead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// TestInvalidHeadIsAccepted guards against heads that net/http parses and HTTP does not allow, and against allowed ones that are refused.
func TestInvalidHeadIsAccepted(t *testing.T) {
	tests := []struct {
		head  string
		valid bool
	}{
		{"HTTP/1.1 200 OK", true},
		{"HTTP/1.0 200", true},
		{"HTTP/1.1 599 Unknown", true},
		{"HTTP/1.1 100 Continue", true},
		{"HTTP/1.1 100 Continue\r\nContent-Length: 0", true},
		{"HTTP/1.1 204 No Content\r\nContent-Length: 3", true},
		{"HTTP/1.1 100 Continue\r\nContent-Length: 3", false},
		{"HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked", false},
		{"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other", false},
		{"HTTP/1.1 000 Trouble", false},
		{"HTTP/1.1 099 Trouble", false},
		{"HTTP/1.1 +20 Trouble", false},
		{"HTTP/1.1 -00 Trouble", false},
		{"HTTP/1.1 600 Trouble", false},
		{"HTTP/2.0 200 OK", false},
		{"HTTP/0.9 200 OK", false},
	}
	for _, tt := range tests {
		t.Run(tt.head, func(t *testing.T) {
			res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tt.head+"\r\n\r\n")), nil)
			qt.Assert(t, err, qt.IsNil)
			err = Check(res)
			var invalid *InvalidError
			qt.Assert(t, errors.As(err, &invalid), qt.Equals, !tt.valid, qt.Commentf("%v", err))
		})
	}
}

// TestStatusWithoutAnswerIsFinal guards against a status that no answer ends with.
func TestStatusWithoutAnswerIsFinal(t *testing.T) {
	for status, want := range map[int]bool{-1: false, 0: false, 100: false, 199: false, 200: true, 404: true, 599: true, 600: false} {
		qt.Check(t, IsFinal(status), qt.Equals, want, qt.Commentf("%d", status))
	}
}
