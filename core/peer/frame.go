package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// FrameError reports a frame or message that the protocol does not allow.
type FrameError struct {
	Reason string
}

func (e *FrameError) Error() string { return "malformed frame: " + e.Reason }

// Sizes of the frame format. Length, kind and stream ID precede the msgpack body.
const (
	lengthBytes   = 4
	headerBytes   = lengthBytes + 1 + 8
	MaxFrameBytes = 8 << 20
)

var encoders = sync.Pool{New: func() any { return msgpack.NewEncoder(nil) }}

// appendFrame appends a message to buf as one frame.
func appendFrame(buf *bytes.Buffer, id StreamID, m Message) error {
	start := buf.Len()
	var header [headerBytes]byte
	buf.Write(header[:])
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
	isCompressed, err := compress(buf, buf.Bytes()[start+headerBytes:])
	if err != nil {
		buf.Truncate(start)
		return err
	}
	if isCompressed {
		kind |= compressedBit
	}
	putHeader(buf.Bytes()[start:], kind, id)
	return nil
}

// FrameSize returns the number of bytes of a message's frame.
func FrameSize(m Message) (int, error) {
	var buf bytes.Buffer
	err := appendFrame(&buf, 0, m)
	return buf.Len(), err
}

// decodeBody decodes the body of a frame, which is compressed if its kind has the compressed bit.
func decodeBody(k Kind, body []byte) (Message, error) {
	if k&compressedBit != 0 {
		plain, err := decompress(body)
		if err != nil {
			return nil, err
		}
		k, body = k&^compressedBit, plain
	}
	m := newMessage(k)
	if m == nil {
		return nil, &FrameError{Reason: fmt.Sprintf("unknown kind %d", k)}
	}
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, &FrameError{Reason: err.Error()}
	}
	return m, nil
}

// putHeader writes length, kind and stream ID into the first bytes of a frame.
func putHeader(frame []byte, k Kind, id StreamID) {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-lengthBytes))
	frame[lengthBytes] = byte(k)
	binary.BigEndian.PutUint64(frame[lengthBytes+1:], uint64(id))
}

// maxHelloBytes bounds the first frame of a connection, whose sender is not known yet.
const maxHelloBytes = 16 << 10

// frameHeader precedes the body of a frame. Its size is that of the body in bytes.
type frameHeader struct {
	id   StreamID
	kind Kind
	size int
}

// readHeader reads the header of a frame whose body is at most limit bytes.
func readHeader(r io.Reader, limit int) (frameHeader, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frameHeader{}, err
	}
	size := int(binary.BigEndian.Uint32(header[:])) - (headerBytes - lengthBytes)
	if size < 0 || size > limit {
		return frameHeader{}, &FrameError{Reason: fmt.Sprintf("body of %d bytes", size)}
	}
	return frameHeader{
		id: StreamID(binary.BigEndian.Uint64(header[lengthBytes+1:])), kind: Kind(header[lengthBytes]), size: size,
	}, nil
}

// readHello reads the first message of a connection.
func readHello(r io.Reader) (*Hello, error) {
	h, err := readHeader(r, maxHelloBytes)
	if err != nil {
		return nil, errors.Wrap(err, "reading hello")
	}
	body := make([]byte, h.size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, errors.Wrap(err, "reading hello")
	}
	if h.kind != KindHello {
		return nil, &FrameError{Reason: "first message is not a hello"}
	}
	m, err := decodeBody(h.kind, body)
	if err != nil {
		return nil, errors.Wrap(err, "decoding hello")
	}
	hello, ok := m.(*Hello)
	if !ok {
		return nil, &FrameError{Reason: "first message is not a hello"}
	}
	return hello, nil
}
