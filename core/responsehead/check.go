package responsehead

import (
	"fmt"
	"net/http"
)

// InvalidError reports bytes that were parsed as the head of a response and are none.
type InvalidError struct {
	Proto, Status string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid response %q", e.Proto+" "+e.Status)
}

// Check returns an InvalidError unless the status line is one of HTTP/1 (RFC 9112, section 4).
func Check(res *http.Response) error {
	if res.ProtoMajor != 1 || !isStatus(res.Status) {
		return &InvalidError{Proto: res.Proto, Status: res.Status}
	}
	return nil
}

// isStatus reports whether a text begins with a status code from 100 to 599 (RFC 9110, section 15).
func isStatus(text string) bool {
	return len(text) >= 3 && text[0] >= '1' && text[0] <= '5' && isDigit(text[1]) && isDigit(text[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
