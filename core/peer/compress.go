package peer

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// compressedBit is the bit of a frame's kind that marks a body compressed with Zstandard (RFC 8878).
const compressedBit Kind = 0x80

// minCompressBytes is the body size in bytes from which compression saves more time on a 10 Mbit/s link than it takes on a
// slow processor. It reduces versions of the declarations to about a tenth.
const minCompressBytes = 16 << 10

// codec holds the shared encoder and decoder, which are safe for concurrent use.
type codec struct {
	enc *zstd.Encoder
	dec *zstd.Decoder
}

// sharedCodec is created at the first large frame, since its tables take memory.
var sharedCodec = sync.OnceValues(func() (*codec, error) {
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

// compress replaces a large body at the end of buf with its compressed form and reports whether it did.
func compress(buf *bytes.Buffer, body []byte) (bool, error) {
	if len(body) < minCompressBytes {
		return false, nil
	}
	c, err := sharedCodec()
	if err != nil {
		return false, err
	}
	packed := c.enc.EncodeAll(body, nil)
	if len(packed) >= len(body) {
		return false, nil
	}
	buf.Truncate(buf.Len() - len(body))
	buf.Write(packed)
	return true, nil
}

// decompress returns the decompressed body of a frame, at most MaxFrameBytes.
func decompress(body []byte) ([]byte, error) {
	c, err := sharedCodec()
	if err != nil {
		return nil, err
	}
	plain, err := c.dec.DecodeAll(body, nil)
	if err != nil {
		return nil, &FrameError{Reason: err.Error()}
	}
	return plain, nil
}
