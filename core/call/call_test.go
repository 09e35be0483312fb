package call

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestImpliesNotRun(t *testing.T) {
	want := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 100; status < 600; status++ {
		qt.Check(t, ImpliesNotRun(status), qt.Equals, want[status], qt.Commentf("%d", status))
	}
}
