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
	Watch     bool          `help:"Show again until interrupted."`
	Every     time.Duration `default:"2s" help:"Time between two views with --watch."`
}

// row is one process in the view.
type row struct {
	Address  string            `json:"address"`
	Revision settings.Revision `json:"revision"`
	Door     *process.Door     `json:"door,omitempty"`
	Error    string            `json:"error,omitempty"`
}

// view is a fleet at one moment.
type view struct {
	Rows []row `json:"processes"`
	// Skew is the largest load over the mean, by service.
	Skew map[settings.ServiceName]float64 `json:"skew"`
}

// Run shows the fleet.
func (c *statusCmd) Run(ctx context.Context, o *output) error {
	for {
		v := c.look(ctx)
		if err := o.print(v, v.text()); err != nil || !c.Watch {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.Every):
		}
	}
}

func (c *statusCmd) look(ctx context.Context) view {
	v := view{Rows: make([]row, len(c.Addresses))}
	var wg sync.WaitGroup
	for i, address := range c.Addresses {
		wg.Add(1)
		go func() {
			defer wg.Done()
			v.Rows[i] = ask(ctx, address)
		}()
	}
	wg.Wait()
	v.Skew = skew(v.Rows)
	return v
}

func ask(ctx context.Context, address string) row {
	sections, err := process.Dump(ctx, address)
	if err != nil {
		return row{Address: address, Error: err.Error()}
	}
	r := row{Address: address, Revision: process.Revision(sections)}
	var d process.Door
	if process.Find(sections, "door", &d) {
		r.Door = &d
	}
	return r
}

// skew returns the largest load over the mean of each service's sides.
func skew(rows []row) map[settings.ServiceName]float64 {
	loads := make(map[settings.ServiceName][]float64)
	for _, r := range rows {
		if r.Door != nil {
			loads[r.Door.Service] = append(loads[r.Door.Service], float64(r.Door.Load))
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

const barWidth = 30

func (v view) text() string {
	largest := 1.0
	for _, r := range v.Rows {
		if r.Door != nil {
			largest = max(largest, float64(r.Door.Load))
		}
	}
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ADDRESS\tREVISION\tUPSTREAM\tRUNNING\tQUEUED\tLOAD\t")
	for _, r := range v.Rows {
		fmt.Fprintln(w, r.text(largest))
	}
	// Writing to a builder cannot fail.
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

func (r row) text(largest float64) string {
	if r.Error != "" {
		return fmt.Sprintf("%s\t-\t%s\t\t\t\t", r.Address, r.Error)
	}
	if r.Door == nil {
		return fmt.Sprintf("%s\t%d\trouter\t\t\t\t", r.Address, r.Revision)
	}
	d := r.Door
	name := string(d.Upstream)
	if d.Leaving {
		name += " (leaving)"
	}
	bar := strings.Repeat("#", int(float64(d.Load)/largest*barWidth))
	return fmt.Sprintf("%s\t%d\t%s\t%d\t%d\t%.0f\t%s", r.Address, r.Revision, name, d.Running, d.Queued, float64(d.Load), bar)
}
