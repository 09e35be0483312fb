package affinity

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestPackedHoldingsComeBackWhole(t *testing.T) {
	c := qt.New(t)
	list := []CacheEntry{
		{Block: 1, Upstream: "a", Age: 0},
		{Block: 1 << 63, Upstream: "a", Age: 30 * time.Second},
		{Block: 7, Upstream: "b", Age: ageUnit},
	}
	got, err := Unpack(Pack(list))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, list)
}

func TestAgesBeyondOneByteStayOld(t *testing.T) {
	c := qt.New(t)
	got, err := Unpack(Pack([]CacheEntry{{Block: 1, Upstream: "a", Age: time.Hour}, {Block: 2, Upstream: "a", Age: -time.Second}}))
	c.Assert(err, qt.IsNil)
	c.Assert(got[0].Age > keepTime, qt.IsTrue)
	c.Assert(got[1].Age, qt.Equals, time.Duration(0))
}

func TestMalformedBatchIsRefused(t *testing.T) {
	c := qt.New(t)
	_, err := Unpack([]Batch{{Upstream: "a", Parts: make([]byte, 9), Ages: make([]byte, 1)}})
	var malformed *MalformedBatchError
	c.Assert(errors.As(err, &malformed), qt.IsTrue)
}

func FuzzUnpack(f *testing.F) {
	f.Add([]byte("01234567"), []byte{3})
	f.Fuzz(func(t *testing.T, parts, ages []byte) {
		list, err := Unpack([]Batch{{Upstream: "a", Parts: parts, Ages: ages}})
		if err == nil && len(list) != len(ages) {
			t.Fatalf("%d holdings of %d ages", len(list), len(ages))
		}
	})
}
