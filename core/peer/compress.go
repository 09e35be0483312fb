package peer

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// compressed is the bit of a frame's kind that marks a body compressed with Zstandard (RFC 8878).
const compressed Kind = 0x80

// minCompressed is the size of a body in bytes from which compressing it saves more time on a link of 10 Mbit/s than it
// takes on a slow processor. Versions of the declarations shrink to about a tenth.
const minCompressed = 16 << 10

// codec holds the shared encoder and decoder, which are safe for concurrent use.
type codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// shared is made at the first large frame, since its tables take memory.
var shared = sync.OnceValues(func() (*codec, error) {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, errors.Wrap(err, "making the encoder")
	}
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxFrameBytes))
	if err != nil {
		return nil, errors.Wrap(err, "making the decoder")
	}
	return &codec{enc: enc, dec: dec}, nil
})

// compress replaces a large body at the end of buf by its compressed form; it reports whether it did.
func compress(buf *bytes.Buffer, body []byte) (bool, error) {
	if len(body) < minCompressed {
		return false, nil
	}
	c, err := shared()
	if err != nil {
		return false, err
	}
	small := c.enc.EncodeAll(body, nil)
	if len(small) >= len(body) {
		return false, nil
	}
	buf.Truncate(buf.Len() - len(body))
	buf.Write(small)
	return true, nil
}

// decompress returns the body of a compressed frame, of MaxFrameBytes at most.
func decompress(body []byte) ([]byte, error) {
	c, err := shared()
	if err != nil {
		return nil, err
	}
	plain, err := c.dec.DecodeAll(body, nil)
	if err != nil {
		return nil, &FrameError{Reason: err.Error()}
	}
	return plain, nil
}
