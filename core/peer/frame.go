package peer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

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
