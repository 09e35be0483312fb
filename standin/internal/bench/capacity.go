package bench

import (
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/cacheowner"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/gossip"
	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/standin/internal/fleet"
)

// Sizes at which slopes are measured.
var (
	sideCounts   = []int{100, 400, 1200}
	spreadCounts = []int{50, 100, 200, 400}
	tableCounts  = []int{2400, 9600, 38400}
)

// Times of the capacity measurements.
const (
	observeTime   = 5 * time.Second
	changesASec   = 4
	openRate      = 500
	spreadChanges = 5
	spreadLimit   = 20 * time.Second
)

// Capacity measures how state, traffic and processor time grow with the size of the fleet.
func Capacity(ctx context.Context, bin, dir string, w *Writer) error {
	for _, n := range sideCounts {
		if err := processesBeside(ctx, bin, dir, n, w); err != nil {
			return err
		}
	}
	for _, n := range spreadCounts {
		if err := spreadOver(ctx, n, w); err != nil {
			return err
		}
	}
	return tables(w)
}

// processesBeside measures one router and one side in a service of n sides.
func processesBeside(ctx context.Context, bin, dir string, n int, w *Writer) error {
	all, err := startStubs(n)
	if err != nil {
		return err
	}
	defer all.stop()
	f, err := fleet.Start(ctx, fleet.Options{
		Bin: bin, Dir: dir, Routers: 1, Engines: 1, DrainTime: 2 * time.Second, NoticeTime: 100 * time.Millisecond,
		Declare: func(d *settings.Declarations) { all.declare(d, fleet.ModelService) },
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	time.Sleep(settleTime)
	observed := map[string]observed{
		"router": {pid: f.Routers[0].PID(), operator: f.Routers[0].Operator},
		"side":   {pid: f.Engines[0].Side.PID(), operator: f.Engines[0].Operator},
	}
	if err := observeAll(ctx, observed, fmt.Sprintf("declared_%d", n), w); err != nil {
		return err
	}
	if err := openLinks(ctx, f, n); err != nil {
		return err
	}
	if err := observeAll(ctx, observed, fmt.Sprintf("links_%d", n), w); err != nil {
		return err
	}
	stop := publishChanges(ctx, f)
	defer stop()
	return observeAll(ctx, observed, fmt.Sprintf("changes_%d", n), w)
}

// observed is a process to look at.
type observed struct {
	pid      int
	operator string
}

// observeAll writes what each process uses and sends in a while.
func observeAll(ctx context.Context, list map[string]observed, what string, w *Writer) error {
	before := make(map[string]Usage)
	sent := make(map[string]float64)
	for name, o := range list {
		u, err := usage(o.pid)
		if err != nil {
			return err
		}
		before[name] = u
		if sent[name], err = bytesOut(ctx, o.operator); err != nil {
			return err
		}
	}
	time.Sleep(observeTime)
	for name, o := range list {
		u, err := usage(o.pid)
		if err != nil {
			return err
		}
		now, err := bytesOut(ctx, o.operator)
		if err != nil {
			return err
		}
		var links []link
		if err := part(ctx, o.operator, "links", &links); err != nil {
			return err
		}
		seconds := observeTime.Seconds()
		lines := []Line{
			{Name: name + "_resident_" + what, Value: float64(u.Resident), Unit: "bytes"},
			{Name: name + "_cores_" + what, Value: (u.CPU - before[name].CPU).Seconds() / seconds, Unit: "cores"},
			{Name: name + "_sent_" + what, Value: (now - sent[name]) / seconds, Unit: "bytes/s"},
			{Name: name + "_links_" + what, Value: float64(len(links)), Unit: "links"},
		}
		for _, l := range lines {
			if err := w.Write(l); err != nil {
				return err
			}
		}
	}
	return nil
}

// openLinks sends calls for different chats until the router holds a link to nearly every side.
func openLinks(ctx context.Context, f *fleet.Fleet, n int) error {
	c := fleet.NewClient(f.Routers[0].URL)
	defer c.Close()
	total := int(float64(n) * (math.Log(float64(n)) + 1))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	start := time.Now()
	for i := range total {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / openRate)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, err := c.Chat(ctx, fleet.ChatRequest{Model: "answer", Messages: []fleet.Message{{Role: "user", Content: fmt.Sprintf("chat %d", i)}}, MaxTokens: 1})
			mu.Lock()
			defer mu.Unlock()
			failed = errors.CombineErrors(failed, err)
		}()
	}
	wg.Wait()
	return failed
}

// publishChanges publishes small changes at a steady rate until stopped.
func publishChanges(ctx context.Context, f *fleet.Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(time.Second / changesASec)
		defer t.Stop()
		for share := 1; ; share++ {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				_, _ = f.Publish(ctx, settings.Document{Key: "teams/heads", Value: fmt.Sprintf("share: %d", share)})
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// node is one process's part in spreading declarations, inside this process.
type node struct {
	store    *revision.Store
	endpoint *peer.Endpoint
	service  *gossip.Service
}

// Serve gives messages to the spread service.
func (n *node) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	n.service.Serve(ctx, st, m)
}

// spreadOver measures how long a change takes to every one of n nodes, and what that costs.
func spreadOver(ctx context.Context, n int, w *Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	nodes, addresses, err := listenNodes(ctx, n, &wg)
	defer func() {
		cancel()
		for _, one := range nodes {
			one.endpoint.Close()
		}
	}()
	if err != nil {
		return err
	}
	runNodes(ctx, nodes, addresses, &wg)
	if _, err := waitAll(nodes, 1); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var slowest time.Duration
	before := sentBy(nodes)
	for i := range spreadChanges {
		r := settings.Revision(i + 2)
		nodes[i].service.Offer(change(r))
		took, err := waitAll(nodes, r)
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
	}
	each := (sentBy(nodes) - before) / float64(n) / spreadChanges
	if err := w.Write(Line{Name: fmt.Sprintf("spread_slowest_%d", n), Value: slowest.Seconds() * 1000, Unit: "ms", Target: 3000}); err != nil {
		return err
	}
	return w.Write(Line{Name: fmt.Sprintf("spread_sent_%d", n), Value: each, Unit: "bytes/node/change"})
}

func change(r settings.Revision) revision.Delta {
	return revision.Delta{From: r - 1, To: revision.Version{Revision: r}, Documents: []settings.Document{
		{Key: "teams/heads", Value: fmt.Sprintf("share: %d", r), Revision: r},
	}}
}

func listenNodes(ctx context.Context, n int, wg *sync.WaitGroup) ([]*node, []string, error) {
	allow, err := peer.ParseNetworks(settings.DefaultAllow)
	if err != nil {
		return nil, nil, err
	}
	var nodes []*node
	var addresses []string
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nodes, nil, errors.Wrap(err, "listening for a node")
		}
		one := &node{store: &revision.Store{}}
		one.endpoint = &peer.Endpoint{Handler: one, Allow: allow, LocalHello: func() peer.Hello {
			return peer.Hello{Protocol: peer.ProtocolVersion, Role: peer.RoleSide, ID: fmt.Sprint(i), Sent: clock.Boot{}.Now()}
		}}
		nodes = append(nodes, one)
		addresses = append(addresses, ln.Addr().String())
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = one.endpoint.Listen(ctx, ln)
		}()
	}
	return nodes, addresses, nil
}

func runNodes(ctx context.Context, nodes []*node, addresses []string, wg *sync.WaitGroup) {
	for i, one := range nodes {
		others := append(append([]string{}, addresses[:i]...), addresses[i+1:]...)
		one.service = &gossip.Service{
			Store:      one.store,
			Dialer:     one.endpoint,
			Log:        log.New(io.Discard),
			Candidates: func() []string { return others },
		}
	}
	_, _ = nodes[0].store.Offer(revision.Delta{To: revision.Version{Revision: 1}})
	for _, one := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = one.service.Run(ctx, func() {})
		}()
	}
}

// waitAll waits until a revision is in force at every node.
func waitAll(nodes []*node, r settings.Revision) (time.Duration, error) {
	begun := time.Now()
	for _, one := range nodes {
		for {
			if v, _ := one.store.Current(); v.Revision >= r {
				break
			}
			if time.Since(begun) > spreadLimit {
				return 0, errors.Newf("revision %d is not everywhere after %s", r, spreadLimit)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(begun), nil
}

func sentBy(nodes []*node) float64 {
	sum := 0.0
	for _, one := range nodes {
		for _, l := range one.endpoint.Links() {
			out, _ := l.Bytes()
			sum += float64(out)
		}
	}
	return sum
}

// tables measures the memory of a side's directory and keys.
func tables(w *Writer) error {
	for _, n := range tableCounts {
		d := &cacheowner.Table{MaxEntries: n}
		used := heapOf(func() {
			for i := range n {
				d.RecordServed(uint64(i)*0x9e3779b97f4a7c15, settings.UpstreamID(fmt.Sprintf("letterhouse-%04d", i%1015)))
			}
		})
		runtime.KeepAlive(d)
		if err := w.Write(Line{Name: fmt.Sprintf("directory_memory_%d", n), Value: used, Unit: "bytes"}); err != nil {
			return err
		}
		k := &outcome.Keys{}
		used = heapOf(func() { fillKeys(k, n) })
		runtime.KeepAlive(k)
		if err := w.Write(Line{Name: fmt.Sprintf("keys_memory_%d", n), Value: used, Unit: "bytes"}); err != nil {
			return err
		}
	}
	return nil
}

// keyAnswerBytes is the length of the recorded answers in the measurement.
const keyAnswerBytes = 200

func fillKeys(k *outcome.Keys, n int) {
	now := clock.Instant(time.Hour)
	for i := range n {
		r, _ := k.Begin(now, fmt.Sprintf("parents\x00debit\x00key-%030d", i), uint64(i), time.Hour)
		k.Finish(now, r, outcome.Answer{Status: 200, Body: make([]byte, keyAnswerBytes)}, time.Hour)
	}
}

func heapOf(fill func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
