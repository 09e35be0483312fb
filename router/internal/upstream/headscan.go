package upstream

import (
	"bytes"
	"hash/maphash"
	"slices"

	"rattantrack.dev/core/call"
)

const (
	// statusLineBytes is the length of a status line up to its reason.
	statusLineBytes = len("HTTP/1.1 200 ")
	// maxEmbeddedHeadBytes bounds how much of a part is held back because it may be the head of another answer.
	maxEmbeddedHeadBytes = 4 << 10
	// maxRequestIDs bounds the requests of a connection whose late answers are recognised.
	maxRequestIDs = 256
)

var (
	protocolName  = []byte("HTTP/1.")
	requestIDSeed = maphash.MakeSeed()
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

// findAnswer reports whether another answer to a request of the connection begins within a part of the answer to the request id. Otherwise
// it returns where a head of at most maxEmbeddedHeadBytes begins that does not end within the part and what follows, or -1. It reads the
// text once, since that may consist of status lines.
func findAnswer(part, following []byte, id call.ID, requests *requestIDs) (unfinished int, found bool) {
	end := part[max(0, len(part)-statusLineBytes):]
	if id == "" || (!bytes.Contains(part, protocolName) && !bytes.ContainsRune(end, 'H')) {
		return -1, false
	}
	text := part
	if len(following) > 0 {
		text = slices.Concat(part, following)
	}
	if at := indexStatusLine(text); at >= 0 && at < len(part) {
		head := headScan{requests: requests, begin: -1}
		if bytes.Contains(text[at+statusLineBytes:], []byte(id)) || head.names(text, at, len(part)) {
			return -1, true
		}
		if head.begin >= 0 {
			return head.begin, false
		}
	}
	if at := indexCutStatusLine(text); at >= 0 && at < len(part) {
		return at, false
	}
	return -1, false
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
		if at := indexStatusLine(line); at >= 0 && from+at < limit {
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

// statusLinePrefix returns how many bytes at the beginning of a text are those of a status line, up to statusLineBytes.
func statusLinePrefix(text []byte) int {
	for i, c := range text[:min(len(text), statusLineBytes)] {
		ok := false
		switch {
		case i < len(protocolName):
			ok = c == protocolName[i]
		case i == len("HTTP/1."):
			ok = c == '0' || c == '1'
		case i == len("HTTP/1.1"), i == len("HTTP/1.1 200"):
			ok = c == ' '
		case i == len("HTTP/1.1 "):
			ok = '1' <= c && c <= '5'
		default:
			ok = '0' <= c && c <= '9'
		}
		if !ok {
			return i
		}
	}
	return min(len(text), statusLineBytes)
}

// indexStatusLine returns where the first status line begins within a text, or -1.
func indexStatusLine(text []byte) int {
	for from := 0; ; from++ {
		i := bytes.Index(text[from:], protocolName)
		if i < 0 {
			return -1
		}
		if from += i; statusLinePrefix(text[from:]) == statusLineBytes {
			return from
		}
	}
}

// indexCutStatusLine returns where a status line begins that does not end within the text, or -1.
func indexCutStatusLine(text []byte) int {
	for i := max(0, len(text)-statusLineBytes+1); i < len(text); i++ {
		if statusLinePrefix(text[i:]) == len(text)-i {
			return i
		}
	}
	return -1
}
