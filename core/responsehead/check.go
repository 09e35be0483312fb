package responsehead

import (
	"fmt"
	"net/http"
)

// InvalidError reports bytes that were parsed as the head of a response and are none.
type InvalidError struct {
	Proto, Status string
	Reason        string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid response %q: %s", e.Proto+" "+e.Status, e.Reason)
}

// Check returns an InvalidError unless the head is one of an HTTP/1 response to a request that asks for no upgrade.
func Check(res *http.Response) error {
	reason := ""
	switch {
	case res.ProtoMajor != 1:
		reason = "the version is not HTTP/1"
	case !isStatus(res.Status):
		reason = "the status is not from 100 to 599"
	case res.StatusCode == http.StatusSwitchingProtocols:
		reason = "no upgrade was asked for"
	case res.StatusCode < http.StatusOK && announcesBody(res):
		reason = "an informational response has no body"
	default:
		return nil
	}
	return &InvalidError{Proto: res.Proto, Status: res.Status, Reason: reason}
}

// IsFinal reports whether a status is one of a response that is not informational.
func IsFinal(status int) bool { return status >= http.StatusOK && status < 600 }

// isStatus reports whether a text begins with a status code (RFC 9110, section 15).
func isStatus(text string) bool {
	return len(text) >= 3 && text[0] >= '1' && text[0] <= '5' && isDigit(text[1]) && isDigit(text[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// announcesBody reports whether the header announces a body, which net/http does not read after informational responses.
func announcesBody(res *http.Response) bool {
	length := res.Header.Get("Content-Length")
	return len(res.TransferEncoding) > 0 || (length != "" && length != "0")
}
