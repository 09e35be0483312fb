package upstream

import (
	"bytes"
	"fmt"
	"hash/maphash"
	"net/http"
	"regexp"
	"slices"
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

const (
	// statusLineBytes is the length of what statusLine matches.
	statusLineBytes = len("HTTP/1.1 200 ")
	// maxEmbeddedHeadBytes bounds how much of a part is held back because it may be the head of another answer.
	maxEmbeddedHeadBytes = 4 << 10
	// embeddedHeadTimeout bounds the wait for the rest of a head whose beginning fills up an answer.
	embeddedHeadTimeout = 20 * time.Millisecond
	// maxRequestIDs bounds the requests of a connection whose late answers are recognised.
	maxRequestIDs = 256
)

var (
	protocolName = []byte("HTTP/1.")
	statusLine   = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9] `)
	// statusLinePrefix matches a text that ends within what statusLine matches.
	statusLinePrefix = regexp.MustCompile(`H(T(T(P(/(1(\.([01]( ([1-5]([0-9]([0-9])?)?)?)?)?)?)?)?)?)?)?$`)
	requestIDSeed    = maphash.MakeSeed()
)

// requestIDs are the newest requests that a connection has carried, as hashes. An upstream may answer each of them once more.
type requestIDs struct {
	hashes []uint64
	// oldest is the index of the oldest one once there are maxRequestIDs.
	oldest int
}

func (s *requestIDs) add(id call.ID) {
	h := maphash.String(requestIDSeed, string(id))
	if len(s.hashes) < maxRequestIDs {
		s.hashes = append(s.hashes, h)
		return
	}
	s.hashes[s.oldest] = h
	s.oldest = (s.oldest + 1) % maxRequestIDs
}

func (s *requestIDs) contains(id []byte) bool {
	return len(id) > 0 && slices.Contains(s.hashes, maphash.Bytes(requestIDSeed, id))
}

// CheckBody returns an error if another answer to a request of the connection begins within a body, or within an event of it. The body must
// be as the upstream wrote it, without the framing: the other answer may fill a chunk or the declared length, and go on after it.
func (r *Response) CheckBody(body []byte) error {
	unfinished, err := r.findAnswer(body, r.buffered())
	if err != nil || unfinished < 0 {
		return err
	}
	// The rest of the head may be on its way. Without a whole status line only what has arrived counts, since any text may end like this.
	wait := statusLine.Match(body[unfinished:])
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

// findAnswer returns an error if another answer to a request of the connection begins within a part. Otherwise it returns where a head
// of at most maxEmbeddedHeadBytes begins that does not end within the part and what follows, or -1. It reads the text once, since that may
// consist of status lines.
func (r *Response) findAnswer(part, following []byte) (unfinished int, err error) {
	end := part[max(0, len(part)-statusLineBytes):]
	if r.Answer.ID == "" || (!bytes.Contains(part, protocolName) && !bytes.ContainsRune(end, 'H')) {
		return -1, nil
	}
	text := part
	if len(following) > 0 {
		text = slices.Concat(part, following)
	}
	if at := statusLine.FindIndex(text); at != nil && at[0] < len(part) {
		head := headScan{requests: r.requests, begin: -1}
		if bytes.Contains(text[at[1]:], []byte(r.Answer.ID)) || head.names(text, at[0], len(part)) {
			return -1, &EmbeddedAnswerError{ID: r.Answer.ID}
		}
		if head.begin >= 0 {
			return head.begin, nil
		}
	}
	lineBegin := max(0, len(text)-statusLineBytes)
	if at := statusLinePrefix.FindIndex(text[lineBegin:]); at != nil && lineBegin+at[0] < len(part) {
		return lineBegin + at[0], nil
	}
	return -1, nil
}

// headScan looks for heads in a text, line by line.
type headScan struct {
	requests *requestIDs
	// begin is where the head begins that the present line belongs to, -1 outside of one.
	begin int
}

// names reports whether a field of a head that begins in text[from:limit] has the id of a request. Otherwise begin is where a head begins
// that does not end within the text, the first one that is not too long.
func (s *headScan) names(text []byte, from, limit int) bool {
	for from < len(text) && (s.begin >= 0 || from < limit) {
		length := bytes.IndexByte(text[from:], '\n') + 1
		ended := length > 0
		if !ended {
			length = len(text) - from
		}
		line := text[from : from+length]
		tooLong := s.begin >= 0 && len(text)-s.begin > maxEmbeddedHeadBytes
		if at := findStatusLine(line); at >= 0 && from+at < limit {
			if s.begin < 0 || tooLong {
				s.begin = from + at
			}
		} else if s.begin >= 0 && ended {
			line = bytes.TrimSpace(line)
			if _, value, ok := bytes.Cut(line, []byte(":")); ok && s.requests.contains(bytes.TrimSpace(value)) {
				return true
			}
			if len(line) == 0 {
				s.begin = -1
			}
		}
		from += length
	}
	if s.begin >= 0 && len(text)-s.begin > maxEmbeddedHeadBytes {
		s.begin = -1
	}
	return false
}

// findStatusLine returns where a status line begins within a line, or -1.
func findStatusLine(line []byte) int {
	if !bytes.Contains(line, protocolName) {
		return -1
	}
	at := statusLine.FindIndex(line)
	if at == nil {
		return -1
	}
	return at[0]
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
