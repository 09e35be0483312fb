package sides

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tidwall/gjson"

	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/responsehead"
	"rattantrack.dev/core/settings"
)

// maxResumeBytes bounds the answer text that is kept so that another engine can continue it.
const maxResumeBytes = 256 << 10

// maxBufferedBytes bounds an answer that is buffered until it is complete.
const maxBufferedBytes = 16 << 20

// TooLongError reports an answer that is too long to be buffered until it is complete.
type TooLongError struct {
	Bytes int
}

func (e *TooLongError) Error() string { return fmt.Sprintf("answer of more than %d bytes", e.Bytes) }

// progress is the state of the answer to one call across all its attempts.
type progress struct {
	sink   Sink
	memory *memorybudget.Lease
	clock  Clock
	// attempt is the number of the latest attempt.
	attempt peer.AttemptID
	// answerTokens counts the answer tokens passed to the caller.
	answerTokens uint32
	// answer is the text passed to the caller, kept so that another engine can continue it. truncated reports that it
	// exceeded maxResumeBytes.
	answer    []byte
	truncated bool
	// headSent reports whether the status and header were sent, and written whether any part of a streamed answer was.
	headSent bool
	written  bool
	stream   bool
	side     settings.UpstreamID
	// cacheOwner is a side that may be able to export the chat's cached prefix.
	cacheOwner settings.UpstreamID
	// failedSides are the sides that lost an attempt; later candidate orders leave them out where possible.
	failedSides []settings.UpstreamID
	// started reports whether an attempt may have been handed to an upstream.
	started bool
	// moves counts how often a side moved the call to another one.
	moves int
	// buffered holds the chunks of an answer that is not streamed, until it is complete.
	buffered      [][]byte
	bufferedBytes int
	head          *peer.Head
}

var (
	dataPrefix   = []byte("data: ")
	contentField = []byte(`"content":`)
)

// HeadError reports an answer that does not continue the stream that the caller has a part of.
type HeadError struct {
	Status int
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("answer with status %d does not continue the stream", e.Status)
}

// InvalidStatusError reports an answer with a status that no answer has.
type InvalidStatusError struct {
	Status int
}

func (e *InvalidStatusError) Error() string {
	return fmt.Sprintf("status %d is not from 200 to 599", e.Status)
}

// setHead keeps an attempt's status and header until the answer begins. If the caller already has those of an earlier attempt, it only
// checks that this one's are of the same kind, since its text is added to the earlier one's.
func (p *progress) setHead(head *peer.Head) error {
	if !responsehead.IsFinal(head.Status) {
		return &InvalidStatusError{Status: head.Status}
	}
	if !p.headSent {
		p.head = head
		return nil
	}
	if head.Status != p.head.Status || contentType(head) != contentType(p.head) {
		return &HeadError{Status: head.Status}
	}
	return nil
}

func contentType(head *peer.Head) string {
	for _, h := range head.Headers {
		if strings.EqualFold(h.Name, "Content-Type") {
			return h.Value
		}
	}
	return ""
}

// isEvents reports whether the body after a head consists of events.
func isEvents(head *peer.Head) bool {
	return head != nil && strings.HasPrefix(contentType(head), "text/event-stream")
}

// writeChunk passes one chunk of a streamed answer to the caller; a chunk of any other answer is buffered, since no other run can continue
// it.
func (p *progress) writeChunk(data []byte, flush bool) error {
	if !p.stream || !isEvents(p.head) {
		return p.bufferChunk(data)
	}
	if err := p.sendHead(); err != nil {
		return err
	}
	p.recordToken(data)
	p.written = true
	return p.sink.Write(data, flush)
}

// bufferChunk keeps a chunk until the answer is complete.
func (p *progress) bufferChunk(data []byte) error {
	if n := p.bufferedBytes + len(data); n > maxBufferedBytes {
		return &TooLongError{Bytes: n}
	}
	if err := p.memory.Grow(p.clock.Now(), int64(len(data))); err != nil {
		return err
	}
	p.bufferedBytes += len(data)
	p.buffered = append(p.buffered, data)
	return nil
}

// sendHead sends status and header to the caller unless that was done before.
func (p *progress) sendHead() error {
	if p.headSent || p.head == nil {
		return nil
	}
	p.headSent = true
	return p.sink.WriteHead(p.head.Status, p.head.Headers, p.side)
}

// recordToken counts and keeps the answer token that a chunk carries, if it carries one.
func (p *progress) recordToken(data []byte) {
	if !bytes.Contains(data, contentField) {
		return
	}
	p.answerTokens++
	text := gjson.GetBytes(data[min(len(data), len(dataPrefix)):], "choices.0.delta.content")
	p.truncated = p.truncated || len(p.answer)+len(text.Str) > maxResumeBytes
	if !p.truncated {
		p.answer = append(p.answer, text.Str...)
	}
}

// resumable reports whether another engine can continue the answer. It can't if the caller already has text that was not
// kept.
func (p *progress) resumable() bool {
	return !p.written || !p.truncated
}

// answerText returns the answer text that is kept for another engine.
func (p *progress) answerText() string { return string(p.answer) }

// discardUnsent drops the buffered chunks, and the status and header if they were not sent.
func (p *progress) discardUnsent() {
	p.memory.Shrink(int64(p.bufferedBytes))
	p.buffered = nil
	p.bufferedBytes = 0
	if !p.headSent {
		p.head = nil
	}
}

// finish sends the buffered answer to the caller.
func (p *progress) finish() error {
	if err := p.sendHead(); err != nil {
		return err
	}
	for _, data := range p.buffered {
		if err := p.sink.Write(data, false); err != nil {
			return err
		}
	}
	return nil
}
