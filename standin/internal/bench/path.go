package bench

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/standin/internal/fleet"
)

// Parameters of the path and stream measurements.
const (
	pathRequestsPerSecond = 1000
	pathDuration          = 6 * time.Second
	pathAnswerTokens      = 8
	streamCount           = 200
	streamTokens          = 600
	streamDecodeRate      = 50.0
	settleDelay           = time.Second
)

// Targets of the path and stream measurements.
const (
	targetMedianMS      = 1.0   // over the direct call
	targetP99MS         = 3.0   // over the direct call
	targetCores         = 0.1   // at 10,000 tokens a second
	targetStreamBytes   = 65536 // for each open stream
	targetResidentBytes = 32 << 20
)

// Path measures the latency that a router and a side add to a direct call of the engine, the router's CPU time under this
// load, and the resident memory of the idle programs.
func Path(ctx context.Context, bin, dir string, w *Writer) error {
	f, err := fleet.Start(ctx, fleet.Options{
		BinDir: bin, SettingsDir: dir, Routers: 1, Engines: 2, PlainServices: 1, DecodeRate: 100_000,
		DrainTime: 5 * time.Second, NoticeTime: 100 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	if err := measureIdleMemory(f, w); err != nil {
		return err
	}
	if err := measureOverhead(ctx, f, w); err != nil {
		return err
	}
	return nil
}

// measureIdleMemory writes the resident memory of each program before any load.
func measureIdleMemory(f *fleet.Fleet, w *Writer) error {
	time.Sleep(settleDelay)
	programs := []struct {
		name string
		pid  int
	}{{"router", f.Routers[0].PID()}, {"side", f.Engines[0].Side.PID()}, {"standin", f.Engines[0].Process.PID()}}
	for _, p := range programs {
		u, err := readUsage(p.pid)
		if err != nil {
			return err
		}
		l := Line{Name: "idle_resident_" + p.name, Value: float64(u.Resident), Unit: "bytes", Target: targetResidentBytes}
		if err := w.Write(l); err != nil {
			return err
		}
	}
	return nil
}

// measureOverhead measures the time to the first token, first in direct calls of an engine and then in calls of a router
// at the same rate.
func measureOverhead(ctx context.Context, f *fleet.Fleet, w *Writer) error {
	direct, err := measureFirstTokens(ctx, f.Engines[0].URL, "letterhouse-8b")
	if err != nil {
		return err
	}
	before, err := readUsage(f.Routers[0].PID())
	if err != nil {
		return err
	}
	routed, err := measureFirstTokens(ctx, f.Routers[0].URL, "answer")
	if err != nil {
		return err
	}
	after, err := readUsage(f.Routers[0].PID())
	if err != nil {
		return err
	}
	seconds := pathDuration.Seconds()
	lines := []Line{
		{Name: "first_token_p50", Value: quantile(routed, 0.5), Unit: "ms", Baseline: quantile(direct, 0.5),
			Target: quantile(direct, 0.5) + targetMedianMS},
		{Name: "first_token_p99", Value: quantile(routed, 0.99), Unit: "ms", Baseline: quantile(direct, 0.99),
			Target: quantile(direct, 0.99) + targetP99MS},
		{Name: "router_cores_at_1000_requests", Value: (after.CPU - before.CPU).Seconds() / seconds, Unit: "cores"},
	}
	for _, l := range lines {
		if err := w.Write(l); err != nil {
			return err
		}
	}
	return nil
}

// measureFirstTokens sends requests at a constant rate and returns their times to the first token.
func measureFirstTokens(ctx context.Context, url, model string) ([]time.Duration, error) {
	c := fleet.NewClient(url)
	defer c.Close()
	var mu sync.Mutex
	var list []time.Duration
	var failed error
	var wg sync.WaitGroup
	total := int(pathRequestsPerSecond * pathDuration.Seconds())
	start := time.Now()
	for i := range total {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / pathRequestsPerSecond)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			res, err := c.Chat(ctx, fleet.ChatRequest{Model: model, Stream: true, MaxTokens: pathAnswerTokens,
				Messages: []fleet.Message{{Role: "user", Content: fmt.Sprintf("question %d", i%500)}}})
			mu.Lock()
			defer mu.Unlock()
			if err == nil && !res.Complete {
				err = errors.Newf("incomplete answer: %+v", res)
			}
			failed = errors.CombineErrors(failed, err)
			list = append(list, res.TimeToFirstToken)
		}()
	}
	wg.Wait()
	return list, failed
}

// Streams measures the CPU time and memory that open streams cost a router and, as the baseline, a relay.
func Streams(ctx context.Context, bin, dir string, w *Writer) error {
	f, err := fleet.Start(ctx, fleet.Options{
		BinDir: bin, SettingsDir: dir, Routers: 1, Engines: 8, DecodeRate: streamDecodeRate,
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
	relayCost, err := measureStreams(ctx, relay.PID(), relayURL, "letterhouse-8b")
	if err != nil {
		return err
	}
	routerCost, err := measureStreams(ctx, f.Routers[0].PID(), f.Routers[0].URL, "draft")
	if err != nil {
		return err
	}
	cores := Line{Name: "router_cores_at_10000_tokens", Value: routerCost.cores, Unit: "cores", Baseline: relayCost.cores, Target: targetCores}
	if err := w.Write(cores); err != nil {
		return err
	}
	return w.Write(Line{Name: "router_memory_open_stream", Value: routerCost.bytes, Unit: "bytes", Baseline: relayCost.bytes, Target: targetStreamBytes})
}

// streamCost is the cost of open streams to a process.
type streamCost struct {
	// cores is the CPU time a second for all streams.
	cores float64
	// bytes is the resident memory for each stream.
	bytes float64
}

// measureStreams measures a process while streams with 10,000 tokens a second in total pass through it.
func measureStreams(ctx context.Context, pid int, url, model string) (streamCost, error) {
	time.Sleep(settleDelay)
	idle, err := readUsage(pid)
	if err != nil {
		return streamCost{}, err
	}
	done := openStreams(ctx, url, model)
	time.Sleep(3 * time.Second)
	before, err := readUsage(pid)
	if err != nil {
		return streamCost{}, err
	}
	const window = 5 * time.Second
	time.Sleep(window)
	after, err := readUsage(pid)
	if err != nil {
		return streamCost{}, err
	}
	c := streamCost{
		cores: (after.CPU - before.CPU).Seconds() / window.Seconds(),
		bytes: float64(after.Resident-idle.Resident) / streamCount,
	}
	return c, <-done
}

// openStreams opens streamCount streams of streamDecodeRate tokens a second each, 10,000 tokens a second in total. The
// channel receives their combined error when all of them have ended.
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
			res, err := c.Chat(ctx, fleet.ChatRequest{Model: model, Stream: true, MaxTokens: streamTokens,
				Messages: []fleet.Message{{Role: "user", Content: fmt.Sprintf("letter %d", i)}}})
			if err == nil && !res.Complete {
				err = errors.Newf("incomplete answer: status %d, code %s", res.Status, res.Code)
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
