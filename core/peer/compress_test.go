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

// version returns a version of the declarations with n routes.
func version(n int) *DeltaReply {
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

// TestLargeFramesAreCompressed replays a version with many routes that is told to a router behind a slow link.
func TestLargeFramesAreCompressed(t *testing.T) {
	tests := []struct {
		name   string
		routes int
		// most is the largest size of the frame, in bytes for each route.
		most int
	}{
		{"a small version travels as it is", 3, 200},
		{"a large one shrinks", 2000, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var buf bytes.Buffer
			want := version(tt.routes)
			c.Assert(appendFrame(&buf, 9, want), qt.IsNil)
			c.Assert(buf.Len() <= tt.most*tt.routes, qt.IsTrue, qt.Commentf("%d bytes", buf.Len()))
			id, got, err := readFrame(bufio.NewReader(&buf))
			c.Assert(err, qt.IsNil)
			c.Assert(id, qt.Equals, StreamID(9))
			c.Assert(got, qt.DeepEquals, want)
		})
	}
}

func TestBytesThatDoNotShrinkTravelAsTheyAre(t *testing.T) {
	c := qt.New(t)
	noise := make([]byte, 2*minCompressed)
	r := rand.NewChaCha8([32]byte{1})
	_, _ = r.Read(noise)
	var buf bytes.Buffer
	buf.Write(noise)
	small, err := compress(&buf, buf.Bytes())
	c.Assert(err, qt.IsNil)
	c.Assert(small, qt.IsFalse)
	c.Assert(buf.Bytes(), qt.DeepEquals, noise)
}

// TestCompressedFrameIsBounded replays a peer whose small frame would take more memory than any frame may.
func TestCompressedFrameIsBounded(t *testing.T) {
	c := qt.New(t)
	codec, err := shared()
	c.Assert(err, qt.IsNil)
	bomb := codec.enc.EncodeAll(make([]byte, 2*MaxFrameBytes), nil)
	_, err = decodeBody(KindDelta|compressed, bomb)
	var malformed *FrameError
	c.Assert(errors.As(err, &malformed), qt.IsTrue, qt.Commentf("%v", err))
}
