package affinity

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestUnpackRestoresPackedEntries(t *testing.T) {
	c := qt.New(t)
	entries := []CacheEntry{
		{Block: 1, Upstream: "a", Age: 0},
		{Block: 1 << 63, Upstream: "a", Age: 30 * time.Second},
		{Block: 7, Upstream: "b", Age: ageUnit},
	}
	got, err := Unpack(Pack(entries))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, entries)
}

func TestAgesBeyondOneByteExceedTheLifetime(t *testing.T) {
	c := qt.New(t)
	got, err := Unpack(Pack([]CacheEntry{{Block: 1, Upstream: "a", Age: time.Hour}, {Block: 2, Upstream: "a", Age: -time.Second}}))
	c.Assert(err, qt.IsNil)
	c.Assert(got[0].Age > entryLifetime, qt.IsTrue)
	c.Assert(got[1].Age, qt.Equals, time.Duration(0))
}

func TestMalformedBatchIsRejected(t *testing.T) {
	c := qt.New(t)
	_, err := Unpack([]Batch{{Upstream: "a", Blocks: make([]byte, 9), Ages: make([]byte, 1)}})
	var malformed *MalformedBatchError
	c.Assert(errors.As(err, &malformed), qt.IsTrue)
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte("01234567"), []byte{3})
	f.Fuzz(func(t *testing.T, blocks, ages []byte) {
		entries, err := Unpack([]Batch{{Upstream: "a", Blocks: blocks, Ages: ages}})
		if err == nil && len(entries) != len(ages) {
			t.Fatalf("%d entries from %d ages", len(entries), len(ages))
		}
	})
}
