package sides

import (
	"bytes"
	"fmt"

	"github.com/tidwall/gjson"

	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// maxKept bounds the answer text kept so that another engine can go on with it.
const maxKept = 256 << 10

// maxWhole bounds an answer that is held until it is whole.
const maxWhole = 16 << 20

// TooLongError reports an answer that is too long to be held until it is whole.
type TooLongError struct {
	Bytes int
}

func (e *TooLongError) Error() string { return fmt.Sprintf("answer of more than %d bytes", e.Bytes) }

// progress is how far the answer to one call has come over all its attempts.
type progress struct {
	sink    Sink
	attempt peer.AttemptID
	// events counts the answer tokens that the caller has.
	events uint32
	// answer is the text so far, kept so that another engine can go on with it.
	answer   []byte
	overflow bool
	headed   bool
	written  bool
	stream   bool
	side     settings.UpstreamID
	// holder is a side that may export the chat's prefix.
	holder settings.UpstreamID
	// failed are the sides that have failed the call.
	failed []settings.UpstreamID
	// started says that an attempt may have been handed to an upstream.
	started bool
	// moves counts the sides that have moved the call away.
	moves int
	// whole holds the pieces of an answer that the caller reads as one body, until it is whole.
	whole     [][]byte
	wholeSize int
	first     *peer.Head
}

var (
	eventStart  = []byte("data: ")
	contentMark = []byte(`"content":`)
)

// head passes the first attempt's status and header on; a later one must only go on with the same answer.
func (p *progress) head(h *peer.Head) error {
	if p.headed {
		return nil
	}
	p.first = h
	return nil
}

// chunk passes one piece on. An answer of events is passed on at once, any other only when it is whole.
func (p *progress) chunk(data []byte, flush bool) error {
	if !p.stream {
		return p.hold(data)
	}
	if err := p.begin(); err != nil {
		return err
	}
	p.keep(data)
	p.written = true
	return p.sink.Write(data, flush)
}

// hold keeps a piece until the answer is whole.
func (p *progress) hold(data []byte) error {
	p.wholeSize += len(data)
	if p.wholeSize > maxWhole {
		return &TooLongError{Bytes: p.wholeSize}
	}
	p.whole = append(p.whole, data)
	return nil
}

func (p *progress) begin() error {
	if p.headed || p.first == nil {
		return nil
	}
	p.headed = true
	return p.sink.Head(p.first.Status, p.first.Headers, p.side)
}

// keep notes an answer token that the caller has.
func (p *progress) keep(data []byte) {
	if !bytes.Contains(data, contentMark) {
		return
	}
	p.events++
	text := gjson.GetBytes(data[min(len(data), len(eventStart)):], "choices.0.delta.content")
	p.overflow = p.overflow || len(p.answer)+len(text.Str) > maxKept
	if !p.overflow {
		p.answer = append(p.answer, text.Str...)
	}
}

// resumable reports whether another engine can go on where the answer broke off.
func (p *progress) resumable() bool {
	return !p.written || !p.overflow
}

// text returns the answer so far.
func (p *progress) text() string { return string(p.answer) }

// restart forgets the pieces of an answer of which the caller has nothing yet.
func (p *progress) restart() {
	p.whole = nil
	p.wholeSize = 0
	if !p.headed {
		p.first = nil
	}
}

// finish passes on what was held until the answer was whole.
func (p *progress) finish() error {
	if err := p.begin(); err != nil {
		return err
	}
	for _, data := range p.whole {
		if err := p.sink.Write(data, false); err != nil {
			return err
		}
	}
	return nil
}
