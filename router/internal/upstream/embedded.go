package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"slices"

	"rattantrack.dev/core/call"
)

// EmbeddedAnswerError reports an answer that broke off on a connection that stayed open, and whose rest is the beginning of another one.
type EmbeddedAnswerError struct {
	ID call.ID
}

func (e *EmbeddedAnswerError) Error() string {
	return fmt.Sprintf("another answer begins within the answer to request %q", e.ID)
}

// statusLineBytes is the length of what statusLine matches.
const statusLineBytes = len("HTTP/1.1 200 ")

var (
	protocolName = []byte("HTTP/1.")
	statusLine   = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9] `)
)

// CheckBody returns an error if another answer to the same request begins within a part of the body. The part must be as the upstream wrote
// it, without the framing: the other answer may fill a chunk or the declared length, and go on after it.
func (r *Response) CheckBody(part []byte) error {
	end := part[max(0, len(part)-statusLineBytes):]
	if r.Answer.ID == "" || (!bytes.Contains(part, protocolName) && !bytes.ContainsRune(end, 'H')) {
		return nil
	}
	following, err := r.reader.Peek(r.reader.Buffered())
	if err != nil {
		return err
	}
	text := slices.Concat(part, following)
	at := statusLine.FindIndex(text)
	if at == nil || at[0] >= len(part) || !bytes.Contains(text[at[1]:], []byte(r.Answer.ID)) {
		return nil
	}
	return &EmbeddedAnswerError{ID: r.Answer.ID}
}

// embedsHead reports whether another head begins within a head.
func embedsHead(res *http.Response) bool {
	if statusLine.MatchString(res.Status + " ") {
		return true
	}
	for _, values := range res.Header {
		for _, v := range values {
			if statusLine.MatchString(v + " ") {
				return true
			}
		}
	}
	return false
}
