package work

import (
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/settings"
)

func TestPackedReadingsAreUnpacked(t *testing.T) {
	c := qt.New(t)
	ids := inflight.NewIDs([]settings.UpstreamID{"a", "b", "c"})
	list := []Reading{{Upstream: "c", Slowdown: 250, Age: 3, Stamp: 65535}, {Upstream: "a", Slowdown: 65535, Age: 400, Stamp: 1}}
	old := Reading{Upstream: "b", Slowdown: 100, Age: 401}
	unknown := Reading{Upstream: "d", Slowdown: 100}
	got, err := UnpackReadings(ids, PackReadings(ids, append([]Reading{old, unknown}, list...)))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, list)
}

func TestMalformedReadingsAreRefused(t *testing.T) {
	ids := inflight.NewIDs([]settings.UpstreamID{"a"})
	tests := []struct {
		name string
		b    []byte
	}{
		{"unfinished number", []byte{0, 0x80}},
		{"too few numbers", []byte{0, 1}},
		{"unfinished stamp", []byte{0, 1, 1, 7}},
		{"unknown upstream", []byte{1, 1, 1, 0, 0}},
		{"age out of range", []byte{0, 1, 0xff, 0xff, 0x7f, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := UnpackReadings(ids, tt.b)
			var packErr *PackError
			qt.Assert(t, errors.As(err, &packErr), qt.IsTrue)
		})
	}
}
