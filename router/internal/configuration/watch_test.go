package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/configuration"
)

// fakeView is a view of a fleet of a given size.
type fakeView struct {
	routers int
}

func (f *fakeView) Listed([]configuration.VM) {}

func (f *fakeView) Routers() []string { return make([]string, f.routers) }

// counter counts notices.
type counter int

func (c *counter) NotifyLeaving(context.Context, string) { *c++ }

func TestReadingAndNoticesDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []struct{ routers, vms int }{{4, 50}, {40, 800}, {400, 7500}} {
		t.Run(fmt.Sprint(size.routers), func(t *testing.T) {
			c := qt.New(t)
			var notices counter
			w := &Watch{View: &fakeView{routers: size.routers}, Notify: &notices}
			w.listed.Store(int64(size.vms))
			bytes := float64(size.vms*vmBytes) / w.vmInterval().Seconds()
			c.Assert(bytes <= vmBytesPerSecond, qt.IsTrue, qt.Commentf("%.0f bytes/s", bytes))
			reads := float64(size.routers) / w.interval().Seconds()
			c.Assert(reads <= readsPerSecond+0.001, qt.IsTrue, qt.Commentf("%.1f reads/s", reads))
			// Every router looks at the list 50 times; the notices to one leaving side are counted.
			const looks = 50
			vms := []configuration.VM{{Address: "a", Role: "upstream", State: configuration.VMLeaving}}
			for range looks * size.routers {
				w.notify(context.Background(), vms)
			}
			seconds := looks * w.vmInterval().Seconds()
			rate := float64(notices) / seconds
			c.Assert(rate > 1 && rate <= noticesPerSecond*1.5, qt.IsTrue, qt.Commentf("%.2f notices/s over %s", rate, time.Duration(seconds)*time.Second))
		})
	}
}
