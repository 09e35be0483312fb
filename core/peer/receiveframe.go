package peer

import (
	"io"

	"github.com/klauspost/compress/zstd"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
)

const (
	// largeFrameBytes is the size of a body in bytes above which it takes memory from the budget.
	largeFrameBytes = 64 << 10
	// bodyCopies is how often a body is held until its message is delivered: as received and as decoded.
	bodyCopies = 2
)

// receiveMessage reads the body of a frame and decodes its message. The lease ends before the handler takes what the message needs from then on:
// both together could be more than a lone message gets.
func (l *Link) receiveMessage(r io.Reader, h frameHeader) (Message, error) {
	lease := l.memory.Open()
	defer lease.Close()
	return l.receiveFrame(r, h, lease)
}

// receiveFrame reads the body of a frame and decodes its message. Without memory for it, it skips the body and returns a
// memorybudget.FullError; the link can go on.
func (l *Link) receiveFrame(r io.Reader, h frameHeader, lease *memorybudget.Lease) (Message, error) {
	if h.size <= largeFrameBytes && h.kind&compressedBit == 0 {
		body := make([]byte, h.size)
		if _, err := io.ReadFull(r, body); err != nil {
			return nil, err
		}
		return decodeBody(h.kind, body)
	}
	now := clock.Boot{}.Now()
	if err := lease.Grow(now, int64(bodyCopies*h.size)); err != nil {
		if _, skipErr := io.CopyN(io.Discard, r, int64(h.size)); skipErr != nil {
			return nil, skipErr
		}
		return nil, err
	}
	lease.Receive(now, func() { l.Close(&memorybudget.EvictedError{}) })
	body, err := readSteps(r, h.size, lease)
	if evicted := lease.Received(); evicted != nil {
		return nil, evicted
	}
	if err != nil {
		return nil, err
	}
	if h.kind&compressedBit != 0 {
		if err := lease.Grow(clock.Boot{}.Now(), bodyCopies*plainSize(body)); err != nil {
			return nil, err
		}
	}
	return decodeBody(h.kind, body)
}

// readSteps reads a body of the given size and reports the progress to the lease.
func readSteps(r io.Reader, size int, lease *memorybudget.Lease) ([]byte, error) {
	body := make([]byte, size)
	for rest := body; len(rest) > 0; {
		n, err := io.ReadFull(r, rest[:min(len(rest), largeFrameBytes)])
		if err != nil {
			return nil, err
		}
		rest = rest[n:]
		lease.Progress(clock.Boot{}.Now(), n)
	}
	return body, nil
}

// plainSize returns the size of a compressed body when it is decompressed, MaxFrameBytes if the body does not state it.
func plainSize(body []byte) int64 {
	var h zstd.Header
	if err := h.Decode(body); err != nil || !h.HasFCS {
		return MaxFrameBytes
	}
	return int64(min(h.FrameContentSize, MaxFrameBytes))
}

// noMemoryReset is the reason of a stream that was reset because there was no memory for a message.
const noMemoryReset = "no memory for the message"

// skipMessage ends the stream of a message that there was no memory for. A submission is refused, so that the router tries another side.
func (l *Link) skipMessage(h frameHeader) {
	if s := l.stream(h.id); s != nil {
		s.deliver(&Reset{Reason: noMemoryReset})
		return
	}
	var reply Message = &Reset{Reason: noMemoryReset}
	if h.kind&^compressedBit == KindSubmit {
		reply = &Refuse{Code: RefuseOverloaded, RetryAfter: noMemoryRetryAfter}
	}
	select {
	case l.queue <- outgoing{id: h.id, m: reply}:
	case <-l.closed:
	}
}
