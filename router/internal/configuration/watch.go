package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/configuration"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// Rates of reading. All routers together read the configuration service at most readsPerSecond times a second,
// however many they are, and tell each other what they find.
const (
	readsPerSecond = 20
	minInterval    = 500 * time.Millisecond
	vmInterval     = time.Second
	// vmBytes is the size of one entry of the VM list, and vmBytesPerSecond what one router reads of the list.
	vmBytes          = 80
	vmBytesPerSecond = 8 << 10
	// noticesPerSecond is how often a side is told that it is listed as leaving, by all routers together.
	noticesPerSecond = 4
	readLimit        = 2 * time.Second
)

// Reader reads the platform.
type Reader interface {
	Changes(ctx context.Context, since settings.Revision, wait time.Duration) (revision.Delta, error)
	VMs(ctx context.Context) ([]configuration.VM, error)
}

// Offerer takes versions that were read.
type Offerer interface {
	Offer(d revision.Delta) revision.Result
}

// View takes the VM list and knows the other routers.
type View interface {
	Listed(vms []configuration.VM)
	Routers() []string
}

// Notifier tells a side that it is listed as leaving.
type Notifier interface {
	NotifyLeaving(ctx context.Context, address string)
}

// Watch reads the platform at intervals.
type Watch struct {
	Reader Reader
	Store  *revision.Store
	Offer  Offerer
	View   View
	Notify Notifier
	Log    *log.Logger
	Scope  tally.Scope

	listed atomic.Int64
}

// String returns the service's name.
func (w *Watch) String() string { return "platform" }

// Run reads until ctx ends; it is ready at once, since the platform may be down for long.
func (w *Watch) Run(ctx context.Context, ready func()) error {
	w.readVMs(ctx)
	w.readChanges(ctx)
	ready()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		repeat(ctx, w.vmInterval, func() { w.readVMs(ctx) })
	}()
	repeat(ctx, w.interval, func() { w.readChanges(ctx) })
	return nil
}

// interval spreads the reads of all routers over the allowance.
func (w *Watch) interval() time.Duration {
	n := time.Duration(len(w.View.Routers()))
	return max(minInterval, n*time.Second/readsPerSecond)
}

// vmInterval keeps what one router reads of the VM list within its bytes a second. In a large fleet each router reads it
// seldom, but one of them does at every moment, and tells the sides concerned.
func (w *Watch) vmInterval() time.Duration {
	return max(vmInterval, time.Duration(w.listed.Load())*vmBytes*time.Second/vmBytesPerSecond)
}

// repeat calls f at intervals with a jitter of a quarter each way.
func repeat(ctx context.Context, interval func() time.Duration, f func()) {
	for {
		d := interval()
		select {
		case <-ctx.Done():
			return
		case <-time.After(d*3/4 + rand.N(d/2)):
			f()
		}
	}
}

func (w *Watch) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	vms, err := w.Reader.VMs(ctx)
	if err != nil {
		w.failed("vm_list", err)
		return
	}
	w.listed.Store(int64(len(vms)))
	w.View.Listed(vms)
	w.notify(ctx, vms)
}

// notify tells the sides that are listed as leaving. The routers share this, whatever their number, by chance.
func (w *Watch) notify(ctx context.Context, vms []configuration.VM) {
	share := noticesPerSecond * w.vmInterval().Seconds() / float64(max(1, len(w.View.Routers())))
	for _, vm := range vms {
		if vm.State != configuration.VMLeaving || vm.Role == configuration.RoleRouter {
			continue
		}
		if rand.Float64() < share {
			w.Notify.NotifyLeaving(ctx, vm.Address)
		}
	}
}

func (w *Watch) readChanges(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readLimit)
	defer cancel()
	have, _ := w.Store.Current()
	d, err := w.Reader.Changes(ctx, have.Revision, 0)
	if err != nil {
		w.failed("configuration", err)
		return
	}
	w.Scope.Counter("configuration_reads").Inc(1)
	if d.To.Revision <= have.Revision || w.Store.Refused(d.To.Revision) {
		return
	}
	if w.Offer.Offer(d) != revision.Gap {
		return
	}
	if d, err = w.Reader.Changes(ctx, 0, 0); err == nil {
		w.Offer.Offer(d)
	}
}

func (w *Watch) failed(what string, err error) {
	w.Scope.Tagged(map[string]string{"source": what}).Counter("platform_failures").Inc(1)
	w.Log.Debug("reading the platform", "source", what, "error", err)
}
