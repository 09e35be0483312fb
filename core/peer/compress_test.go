package peer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// deltaWithRoutes returns a delta of the declarations with n routes.
func deltaWithRoutes(n int) *DeltaReply {
	r := &DeltaReply{}
	for i := range n {
		r.Delta.Documents = append(r.Delta.Documents, settings.Document{
			Key: settings.DocumentKey(fmt.Sprintf("routes/r-%05d", i)), Revision: 7,
			Value: fmt.Sprintf(`{"host":"host%d.example","path_prefix":"/a%d/","kind":"stream","timeout":15000000000}`, i%40, i),
		})
	}
	r.Delta.To = revision.Version{Revision: 7}
	return r
}

// TestLargeFramesAreCompressed guards the size of a version with many routes that is sent over a slow link.
func TestLargeFramesAreCompressed(t *testing.T) {
	tests := []struct {
		name   string
		routes int
		// maxBytesPerRoute is the maximum size of the frame in bytes per route.
		maxBytesPerRoute int
	}{
		{"small version is sent uncompressed", 3, 200},
		{"large version is compressed", 2000, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var buf bytes.Buffer
			want := deltaWithRoutes(tt.routes)
			c.Assert(appendFrame(&buf, 9, want), qt.IsNil)
			c.Assert(buf.Len() <= tt.maxBytesPerRoute*tt.routes, qt.IsTrue, qt.Commentf("%d bytes", buf.Len()))
			id, got, err := readFrame(bufio.NewReader(&buf))
			c.Assert(err, qt.IsNil)
			c.Assert(id, qt.Equals, StreamID(9))
			c.Assert(got, qt.DeepEquals, want)
		})
	}
}

func TestIncompressibleBodyIsSentUncompressed(t *testing.T) {
	c := qt.New(t)
	random := make([]byte, 2*minCompressBytes)
	r := rand.NewChaCha8([32]byte{1})
	_, _ = r.Read(random)
	var buf bytes.Buffer
	buf.Write(random)
	done, err := compress(&buf, buf.Bytes())
	c.Assert(err, qt.IsNil)
	c.Assert(done, qt.IsFalse)
	c.Assert(buf.Bytes(), qt.DeepEquals, random)
}

// TestCompressedFrameIsBounded guards against a small frame that would decompress to more than the maximum frame size.
func TestCompressedFrameIsBounded(t *testing.T) {
	c := qt.New(t)
	codec, err := sharedCodec()
	c.Assert(err, qt.IsNil)
	bomb := codec.enc.EncodeAll(make([]byte, 2*MaxFrameBytes), nil)
	_, err = decodeBody(KindDeltaReply|compressedBit, bomb)
	var malformed *FrameError
	c.Assert(errors.As(err, &malformed), qt.IsTrue, qt.Commentf("%v", err))
}
