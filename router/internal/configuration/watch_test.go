package configuration

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/configuration"
)

// fakeView is a view with a given number of routers.
type fakeView struct {
	routers int
}

func (f *fakeView) SetVMs([]configuration.VM) {}

func (f *fakeView) Routers() []string { return make([]string, f.routers) }

// noticeCounter counts the notices to sides.
type noticeCounter int

func (c *noticeCounter) NotifyLeaving(context.Context, string) { *c++ }

// TestReadAndNoticeRatesDoNotGrowWithFleetSize guards against reads and notices whose rate grows with the number of
// routers or VMs and overloads the platform or a leaving side.
func TestReadAndNoticeRatesDoNotGrowWithFleetSize(t *testing.T) {
	for _, size := range []struct{ routers, vms int }{{4, 50}, {40, 800}, {400, 7500}} {
		t.Run(fmt.Sprint(size.routers), func(t *testing.T) {
			c := qt.New(t)
			var notices noticeCounter
			w := &Watcher{View: &fakeView{routers: size.routers}, Notify: &notices}
			w.vmCount.Store(int64(size.vms))
			bytes := float64(size.vms*vmEntryBytes) / w.vmListInterval().Seconds()
			c.Assert(bytes <= vmListBytesPerSecond, qt.IsTrue, qt.Commentf("%.0f bytes/s", bytes))
			reads := float64(size.routers) / w.readInterval().Seconds()
			c.Assert(reads <= readsPerSecond+0.001, qt.IsTrue, qt.Commentf("%.1f reads/s", reads))
			// Each router reads a list with one leaving side 50 times; the notices to that side are counted.
			const readsPerRouter = 50
			vms := []configuration.VM{{Address: "a", Role: "upstream", State: configuration.VMLeaving}}
			for range readsPerRouter * size.routers {
				w.notify(context.Background(), vms)
			}
			seconds := readsPerRouter * w.vmListInterval().Seconds()
			rate := float64(notices) / seconds
			c.Assert(rate > 1 && rate <= noticesPerSecond*1.5, qt.IsTrue, qt.Commentf("%.2f notices/s over %s", rate, time.Duration(seconds)*time.Second))
		})
	}
}
