package inflight

import (
	"maps"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattantrack.dev/core/settings"
)

func TestPackedCountsAreUnpacked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfDistinct(rapid.StringMatching(`i-[a-f0-9]{1,3}`), rapid.ID[string]).Draw(t, "names")
		counts := make(Counts)
		ids := make([]settings.UpstreamID, len(names))
		for i, name := range names {
			ids[i] = settings.UpstreamID(name)
			if n := rapid.IntRange(0, 1000).Draw(t, "count"); n > 0 {
				counts[ids[i]] = n
			}
		}
		list := NewIDs(ids)
		withNames := rapid.Bool().Draw(t, "names sent")
		receiver := list
		if withNames && len(ids) > 0 {
			receiver = IDs{}
		}
		got, err := Pack(list, counts, withNames).Unpack(receiver)
		if err != nil || !maps.Equal(got, counts) {
			t.Fatalf("got %v, %v", got, err)
		}
	})
}

func TestMalformedCountsAreRefused(t *testing.T) {
	ids := NewIDs([]settings.UpstreamID{"a", "b"})
	tests := []struct {
		name   string
		packed Packed
	}{
		{"another list", Packed{Digest: 1, Values: []byte{1, 2}}},
		{"too few counts", Packed{Digest: ids.Digest, Values: []byte{1}}},
		{"too many counts", Packed{Digest: ids.Digest, Values: []byte{1, 2, 3}}},
		{"unfinished count", Packed{Digest: ids.Digest, Values: []byte{1, 0x80}}},
		{"count out of range", Packed{Digest: ids.Digest, Values: []byte{1, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := tt.packed.Unpack(ids)
			var packErr *PackError
			qt.Assert(t, errors.As(err, &packErr), qt.IsTrue)
		})
	}
}
