package upstream

import (
	"fmt"
	"net/http"
	"time"

	"rattantrack.dev/core/call"
)

// EmbeddedAnswerError reports an answer that broke off on a connection that stayed open, and whose rest is the beginning of another one.
type EmbeddedAnswerError struct {
	// ID is the id of the request whose answer broke off.
	ID call.ID
}

func (e *EmbeddedAnswerError) Error() string {
	return fmt.Sprintf("another answer begins within the answer to request %q", e.ID)
}

// embeddedHeadTimeout bounds the wait for the rest of a head whose beginning fills up an answer.
const embeddedHeadTimeout = 20 * time.Millisecond

// CheckBody returns an error if another answer to a request of the connection begins within a body, or within an event of it. The body must
// be as the upstream wrote it, without the framing: the other answer may fill a chunk or the declared length, and go on after it.
func (r *Response) CheckBody(body []byte) error {
	unfinished, err := r.findAnswer(body, r.buffered())
	if err != nil || unfinished < 0 {
		return err
	}
	// The rest of the head may be on its way. Without a whole status line only what has arrived counts, since any text may end like this.
	wait := indexStatusLine(body[unfinished:]) >= 0
	for len(r.buffered()) < r.reader.Size() && r.receiveMore(wait) {
		unfinished, err = r.findAnswer(body, r.buffered())
		if err != nil || unfinished < 0 {
			return err
		}
		wait = true
	}
	return nil
}

// CheckPart checks a part of a body that goes on. It returns how much of the part can be passed on: the rest may be the beginning of another
// answer's head, and must be checked again with the bytes that follow.
func (r *Response) CheckPart(part []byte) (int, error) {
	unfinished, err := r.findAnswer(part, nil)
	if err != nil {
		return 0, err
	}
	if unfinished < 0 {
		return len(part), nil
	}
	return unfinished, nil
}

// buffered returns the bytes that have been read and follow the body.
func (r *Response) buffered() []byte {
	// What is buffered can be read without an error.
	b, _ := r.reader.Peek(r.reader.Buffered())
	return b
}

// receiveMore reads more of what follows the body, and reports whether there was some. It waits for embeddedHeadTimeout, or not at all.
func (r *Response) receiveMore(wait bool) bool {
	if !wait && r.conn.empty() {
		return false
	}
	if r.conn.SetReadDeadline(time.Now().Add(embeddedHeadTimeout)) != nil {
		return false
	}
	_, err := r.reader.Peek(r.reader.Buffered() + 1)
	return r.conn.SetReadDeadline(time.Time{}) == nil && err == nil
}

func (r *Response) findAnswer(part, following []byte) (unfinished int, err error) {
	unfinished, found := findAnswer(part, following, r.Answer.ID, r.requests)
	if found {
		return -1, &EmbeddedAnswerError{ID: r.Answer.ID}
	}
	return unfinished, nil
}

// embedsHead reports whether another head begins within a head.
func embedsHead(res *http.Response) bool {
	if indexStatusLine([]byte(res.Status+" ")) >= 0 {
		return true
	}
	for _, values := range res.Header {
		for _, v := range values {
			if indexStatusLine([]byte(v+" ")) >= 0 {
				return true
			}
		}
	}
	return false
}
