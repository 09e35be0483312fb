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

// Limits on reading the platform.
const (
	// readsPerSecond bounds the reads of the configuration service by all routers together, however many there are. The
	// routers pass the versions that they read to each other.
	readsPerSecond    = 20
	minReadInterval   = 500 * time.Millisecond
	minVMListInterval = time.Second
	// vmEntryBytes is the assumed size of one entry of the VM list; vmListBytesPerSecond bounds what one router reads of
	// the list.
	vmEntryBytes         = 80
	vmListBytesPerSecond = 8 << 10
	// noticesPerSecond bounds the mean rate at which all routers together notify a side that it is listed as leaving.
	noticesPerSecond = 4
	readTimeout      = 2 * time.Second
)

// Reader reads the configuration service and the VM list.
type Reader interface {
	Changes(ctx context.Context, since settings.Revision, wait time.Duration) (revision.Delta, error)
	VMs(ctx context.Context) ([]configuration.VM, error)
}

// Offerer accepts versions of the declarations that were read.
type Offerer interface {
	Offer(d revision.Delta) revision.Result
}

// View stores the VM list and returns the addresses of the live routers.
type View interface {
	SetVMs(vms []configuration.VM)
	Routers() []string
}

// Notifier notifies a side that it is listed as leaving.
type Notifier interface {
	NotifyLeaving(ctx context.Context, address string)
}

// Watcher reads the configuration service and the VM list at intervals.
type Watcher struct {
	Reader Reader
	Store  *revision.Store
	Offer  Offerer
	View   View
	Notify Notifier
	Log    *log.Logger
	Scope  tally.Scope

	vmCount atomic.Int64
}

// String returns the service's name.
func (w *Watcher) String() string { return "platform" }

// Run reads until ctx ends. It is ready after one attempt to read, even a failed one, since the platform may be
// unreachable for a long time.
func (w *Watcher) Run(ctx context.Context, ready func()) error {
	w.readVMs(ctx)
	w.readChanges(ctx)
	ready()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		repeat(ctx, w.vmListInterval, func() { w.readVMs(ctx) })
	}()
	repeat(ctx, w.readInterval, func() { w.readChanges(ctx) })
	return nil
}

// readInterval returns the time between two reads that keeps all routers together within readsPerSecond.
func (w *Watcher) readInterval() time.Duration {
	routers := time.Duration(len(w.View.Routers()))
	return max(minReadInterval, routers*time.Second/readsPerSecond)
}

// vmListInterval returns the time between two reads of the VM list that keeps one router within vmListBytesPerSecond. In
// a large fleet each router reads the list seldom, but at any time some router has read it recently and notifies the
// sides that are leaving.
func (w *Watcher) vmListInterval() time.Duration {
	return max(minVMListInterval, time.Duration(w.vmCount.Load())*vmEntryBytes*time.Second/vmListBytesPerSecond)
}

// repeat calls f until ctx ends, at intervals with a jitter of a quarter in each direction.
func repeat(ctx context.Context, interval func() time.Duration, f func()) {
	for {
		pause := interval()
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause*3/4 + rand.N(pause/2)):
			f()
		}
	}
}

func (w *Watcher) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	vms, err := w.Reader.VMs(ctx)
	if err != nil {
		w.recordFailure("vm_list", err)
		return
	}
	w.vmCount.Store(int64(len(vms)))
	w.View.SetVMs(vms)
	w.notify(ctx, vms)
}

// notify notifies the sides that are listed as leaving. Each router does so with a probability that bounds the mean rate
// of all routers together by noticesPerSecond, however many there are.
func (w *Watcher) notify(ctx context.Context, vms []configuration.VM) {
	probability := noticesPerSecond * w.vmListInterval().Seconds() / float64(max(1, len(w.View.Routers())))
	for _, vm := range vms {
		if vm.State != configuration.VMLeaving || vm.Role == configuration.RoleRouter {
			continue
		}
		if rand.Float64() < probability {
			w.Notify.NotifyLeaving(ctx, vm.Address)
		}
	}
}

func (w *Watcher) readChanges(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	current, _ := w.Store.Current()
	delta, err := w.Reader.Changes(ctx, current.Revision, 0)
	if err != nil {
		w.recordFailure("configuration", err)
		return
	}
	w.Scope.Counter("configuration_reads").Inc(1)
	if delta.To.Revision <= current.Revision || w.Store.Refused(delta.To.Revision) {
		return
	}
	if w.Offer.Offer(delta) != revision.Gap {
		return
	}
	// The changes don't connect to the current version, so the complete version is read.
	if delta, err = w.Reader.Changes(ctx, 0, 0); err == nil {
		w.Offer.Offer(delta)
	}
}

func (w *Watcher) recordFailure(source string, err error) {
	w.Scope.Tagged(map[string]string{"source": source}).Counter("platform_failures").Inc(1)
	w.Log.Debug("reading from the platform failed", "source", source, "error", err)
}
