package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/standin/internal/fleet"
)

// Shape of the path measurement.
const (
	pathRate     = 1000 // requests a second
	pathTime     = 6 * time.Second
	pathTokens   = 8
	streamCount  = 200
	streamTokens = 600
	streamRate   = 50.0
	settleTime   = time.Second
)

// Targets of the path.
const (
	targetMedian   = 1.0   // ms over the direct call
	targetP99      = 3.0   // ms over the direct call
	targetCores    = 0.1   // of a core at 10,000 tokens a second
	targetStream   = 65536 // bytes an open stream
	targetResident = 32 << 20
)

// Path measures what the path adds over calling the engine directly, and what a router spends.
func Path(ctx context.Context, bin, dir string, w *Writer) error {
	f, err := fleet.Start(ctx, fleet.Options{
		Bin: bin, Dir: dir, Routers: 1, Engines: 2, Plains: 1, DecodeRate: 100_000,
		DrainTime: 5 * time.Second, NoticeTime: 100 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	if err := idle(f, w); err != nil {
		return err
	}
	if err := overhead(ctx, f, w); err != nil {
		return err
	}
	return nil
}

// idle writes the memory of each program before any load.
func idle(f *fleet.Fleet, w *Writer) error {
	time.Sleep(settleTime)
	programs := []struct {
		name string
		pid  int
	}{{"router", f.Routers[0].PID()}, {"side", f.Engines[0].Side.PID()}, {"standin", f.Engines[0].Upstream.PID()}}
	for _, p := range programs {
		u, err := usage(p.pid)
		if err != nil {
			return err
		}
		l := Line{Name: "idle_resident_" + p.name, Value: float64(u.Resident), Unit: "bytes", Target: targetResident}
		if err := w.Write(l); err != nil {
			return err
		}
	}
	return nil
}

// overhead compares times to the first token through the path and directly, in turns on the same arrivals.
func overhead(ctx context.Context, f *fleet.Fleet, w *Writer) error {
	direct, err := firstTokens(ctx, f.Engines[0].URL, "letterhouse-8b")
	if err != nil {
		return err
	}
	before, err := usage(f.Routers[0].PID())
	if err != nil {
		return err
	}
	path, err := firstTokens(ctx, f.Routers[0].URL, "answer")
	if err != nil {
		return err
	}
	after, err := usage(f.Routers[0].PID())
	if err != nil {
		return err
	}
	seconds := pathTime.Seconds()
	lines := []Line{
		{Name: "first_token_p50", Value: quantile(path, 0.5), Unit: "ms", Baseline: quantile(direct, 0.5), Target: quantile(direct, 0.5) + targetMedian},
		{Name: "first_token_p99", Value: quantile(path, 0.99), Unit: "ms", Baseline: quantile(direct, 0.99), Target: quantile(direct, 0.99) + targetP99},
		{Name: "router_cores_at_1000_requests", Value: (after.CPU - before.CPU).Seconds() / seconds, Unit: "cores"},
	}
	for _, l := range lines {
		if err := w.Write(l); err != nil {
			return err
		}
	}
	return nil
}

// firstTokens sends requests at a steady rate and returns the times to the first token.
func firstTokens(ctx context.Context, url, model string) ([]time.Duration, error) {
	c := fleet.NewClient(url)
	defer c.Close()
	var mu sync.Mutex
	var list []time.Duration
	var failed error
	var wg sync.WaitGroup
	total := int(pathRate * pathTime.Seconds())
	start := time.Now()
	for i := range total {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / pathRate)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			a, err := c.Chat(ctx, fleet.ChatRequest{Model: model, Stream: true, MaxTokens: pathTokens,
				Messages: []fleet.Message{{Role: "user", Content: fmt.Sprintf("question %d", i%500)}}})
			mu.Lock()
			defer mu.Unlock()
			if err == nil && !a.Whole {
				err = errors.Newf("answer not whole: %+v", a)
			}
			failed = errors.CombineErrors(failed, err)
			list = append(list, a.FirstToken)
		}()
	}
	wg.Wait()
	return list, failed
}

// Streams measures what open streams cost a router.
func Streams(ctx context.Context, bin, dir string, w *Writer) error {
	f, err := fleet.Start(ctx, fleet.Options{
		Bin: bin, Dir: dir, Routers: 1, Engines: 8, DecodeRate: streamRate,
		DrainTime: 20 * time.Second, NoticeTime: 100 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	relay, relayURL, err := f.StartRelay(ctx)
	if err != nil {
		return err
	}
	naive, err := streamCost(ctx, relay.PID(), relayURL, "letterhouse-8b")
	if err != nil {
		return err
	}
	ours, err := streamCost(ctx, f.Routers[0].PID(), f.Routers[0].URL, "draft")
	if err != nil {
		return err
	}
	cores := Line{Name: "router_cores_at_10000_tokens", Value: ours.cores, Unit: "cores", Baseline: naive.cores, Target: targetCores}
	if err := w.Write(cores); err != nil {
		return err
	}
	return w.Write(Line{Name: "router_memory_open_stream", Value: ours.bytes, Unit: "bytes", Baseline: naive.bytes, Target: targetStream})
}

// cost is what open streams cost a process.
type cost struct {
	cores float64
	bytes float64
}

// streamCost measures a process while long streams that together carry 10,000 tokens a second pass through it.
func streamCost(ctx context.Context, pid int, url, model string) (cost, error) {
	time.Sleep(settleTime)
	quiet, err := usage(pid)
	if err != nil {
		return cost{}, err
	}
	done := openStreams(ctx, url, model)
	time.Sleep(3 * time.Second)
	before, err := usage(pid)
	if err != nil {
		return cost{}, err
	}
	const window = 5 * time.Second
	time.Sleep(window)
	after, err := usage(pid)
	if err != nil {
		return cost{}, err
	}
	c := cost{
		cores: (after.CPU - before.CPU).Seconds() / window.Seconds(),
		bytes: float64(after.Resident-quiet.Resident) / streamCount,
	}
	return c, <-done
}

// openStreams opens long streams that together carry 10,000 tokens a second.
func openStreams(ctx context.Context, url, model string) <-chan error {
	done := make(chan error, 1)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	for i := range streamCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := fleet.NewClient(url)
			defer c.Close()
			a, err := c.Chat(ctx, fleet.ChatRequest{Model: model, Stream: true, MaxTokens: streamTokens,
				Messages: []fleet.Message{{Role: "user", Content: fmt.Sprintf("letter %d", i)}}})
			if err == nil && !a.Whole {
				err = errors.Newf("answer not whole: status %d code %s", a.Status, a.Code)
			}
			mu.Lock()
			defer mu.Unlock()
			failed = errors.CombineErrors(failed, err)
		}()
	}
	go func() {
		wg.Wait()
		done <- failed
	}()
	return done
}
