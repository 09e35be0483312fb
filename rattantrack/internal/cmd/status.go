package cmd

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"rattantrack.dev/core/settings"
	"rattantrack.dev/rattantrack/internal/process"
)

type statusCmd struct {
	Addresses []string      `arg:"" help:"Operators' addresses of processes."`
	Watch     bool          `help:"Repeat until interrupted."`
	Every     time.Duration `default:"2s" help:"Time between two views with --watch."`
}

// processRow is the state of one process. Side is nil for a router or an unreachable process.
type processRow struct {
	Address  string              `json:"address"`
	Revision settings.Revision   `json:"revision"`
	Side     *process.SideStatus `json:"door,omitempty"`
	// Router is the state of a router without sides.
	Router *process.RouterStatus `json:"router,omitempty"`
	Error  string                `json:"error,omitempty"`
}

// fleetView is the state of a fleet at one time.
type fleetView struct {
	Rows []processRow `json:"processes"`
	// Skew is the ratio of the largest to the mean load of each service's sides.
	Skew map[settings.ServiceName]float64 `json:"skew"`
}

// Run shows the fleet, repeatedly with --watch.
func (c *statusCmd) Run(ctx context.Context, o *output) error {
	for {
		fleet := c.poll(ctx)
		if err := o.print(fleet, fleet.text()); err != nil || !c.Watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Every):
		}
	}
}

// poll queries all processes at the same time.
func (c *statusCmd) poll(ctx context.Context) fleetView {
	v := fleetView{Rows: make([]processRow, len(c.Addresses))}
	var wg sync.WaitGroup
	for i, address := range c.Addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			v.Rows[i] = fetchRow(ctx, address)
		}()
	}
	wg.Wait()
	v.Skew = skew(v.Rows)
	return v
}

func fetchRow(ctx context.Context, address string) processRow {
	sections, err := process.Dump(ctx, address)
	if err != nil {
		return processRow{Address: address, Error: err.Error()}
	}
	r := processRow{Address: address, Revision: process.Revision(sections)}
	r.Router = process.Router(sections)
	var side process.SideStatus
	if process.Find(sections, "door", &side) {
		r.Side = &side
	}
	return r
}

// skew returns the ratio of the largest to the mean load of each service's sides. It leaves out services without load.
func skew(rows []processRow) map[settings.ServiceName]float64 {
	loads := make(map[settings.ServiceName][]float64)
	for _, r := range rows {
		if r.Side != nil {
			loads[r.Side.Service] = append(loads[r.Side.Service], float64(r.Side.Load))
		}
	}
	all := make(map[settings.ServiceName]float64)
	for name, list := range loads {
		largest, sum := 0.0, 0.0
		for _, l := range list {
			largest = max(largest, l)
			sum += l
		}
		if sum > 0 {
			all[name] = largest * float64(len(list)) / sum
		}
	}
	return all
}

// barWidth is the length in characters of the bar for the largest load.
const barWidth = 30

func (v fleetView) text() string {
	largest := 1.0
	for _, r := range v.Rows {
		if r.Side != nil {
			largest = max(largest, float64(r.Side.Load))
		}
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tREVISION\tUPSTREAM\tRUNNING\tQUEUED\tLOAD\t")
	for _, r := range v.Rows {
		fmt.Fprintln(w, r.text(largest))
	}
	// Writing to a strings.Builder cannot fail.
	_ = w.Flush()
	var names []string
	for name := range v.Skew {
		names = append(names, string(name))
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "skew of %s: %.2f\n", name, v.Skew[settings.ServiceName(name)])
	}
	return b.String()
}

func (r processRow) text(largest float64) string {
	if r.Error != "" {
		return fmt.Sprintf("%s\t-\t%s\t\t\t\t", r.Address, r.Error)
	}
	if r.Router != nil {
		return fmt.Sprintf("%s\t%d\t%s\t\t\t\t", r.Address, r.Revision, r.Router)
	}
	if r.Side == nil {
		return fmt.Sprintf("%s\t%d\trouter\t\t\t\t", r.Address, r.Revision)
	}
	side := r.Side
	name := string(side.Upstream)
	if side.Leaving {
		name += " (leaving)"
	}
	bar := strings.Repeat("#", int(float64(side.Load)/largest*barWidth))
	return fmt.Sprintf("%s\t%d\t%s\t%d\t%d\t%.0f\t%s", r.Address, r.Revision, name, side.Running, side.Queued, float64(side.Load), bar)
}
