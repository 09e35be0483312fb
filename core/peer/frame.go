package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// FrameError reports bytes that are no frame of the protocol.
type FrameError struct {
	Reason string
}

func (e *FrameError) Error() string { return "malformed frame: " + e.Reason }

// Sizes of the frame format: length, kind and stream before the msgpack body.
const (
	lengthBytes   = 4
	headBytes     = lengthBytes + 1 + 8
	MaxFrameBytes = 8 << 20
)

var encoders = sync.Pool{New: func() any { return msgpack.NewEncoder(nil) }}

// appendFrame encodes a message as one frame.
func appendFrame(buf *bytes.Buffer, id StreamID, m Message) error {
	start := buf.Len()
	var head [headBytes]byte
	buf.Write(head[:])
	enc, _ := encoders.Get().(*msgpack.Encoder)
	enc.Reset(buf)
	enc.UseArrayEncodedStructs(true)
	err := enc.Encode(m)
	encoders.Put(enc)
	if err != nil {
		buf.Truncate(start)
		return errors.Wrapf(err, "encoding message of kind %d", m.Kind())
	}
	size := buf.Len() - start
	if size > MaxFrameBytes {
		buf.Truncate(start)
		return &FrameError{Reason: fmt.Sprintf("%d bytes exceed the largest frame", size)}
	}
	kind := m.Kind()
	small, err := compress(buf, buf.Bytes()[start+headBytes:])
	if err != nil {
		buf.Truncate(start)
		return err
	}
	if small {
		kind |= compressed
	}
	putHead(buf.Bytes()[start:], kind, id)
	return nil
}

// FrameSize returns the bytes that a message takes as a frame.
func FrameSize(m Message) (int, error) {
	var buf bytes.Buffer
	err := appendFrame(&buf, 0, m)
	return buf.Len(), err
}

// decodeBody decodes the body of a frame of the given kind.
func decodeBody(k Kind, body []byte) (Message, error) {
	if k&compressed != 0 {
		plain, err := decompress(body)
		if err != nil {
			return nil, err
		}
		k, body = k&^compressed, plain
	}
	m := empty(k)
	if m == nil {
		return nil, &FrameError{Reason: fmt.Sprintf("unknown kind %d", k)}
	}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, &FrameError{Reason: err.Error()}
	}
	return m, nil
}

// putHead writes length, kind and stream into the first bytes of a frame.
func putHead(frame []byte, k Kind, id StreamID) {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))
	frame[lengthBytes] = byte(k)
	binary.BigEndian.PutUint64(frame[lengthBytes+1:], uint64(id))
}

// readFrame reads one frame and decodes its message.
func readFrame(r *bufio.Reader) (StreamID, Message, error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(head[:])) - (headBytes - lengthBytes)
	if size < 0 || size > MaxFrameBytes {
		return 0, nil, &FrameError{Reason: fmt.Sprintf("body of %d bytes", size)}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, err
	}
	m, err := decodeBody(Kind(head[lengthBytes]), body)
	return StreamID(binary.BigEndian.Uint64(head[lengthBytes+1:])), m, err
}
