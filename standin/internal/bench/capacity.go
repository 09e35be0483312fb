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

// Fleet and table sizes at which the capacity figures are measured, to show their growth.
var (
	sideCounts       = []int{100, 400, 1200}
	gossipNodeCounts = []int{50, 100, 200, 400}
	tableEntryCounts = []int{2400, 9600, 38400}
)

// Parameters of the capacity measurements.
const (
	observeDuration  = 5 * time.Second
	changesPerSecond = 4
	callsPerSecond   = 500
	gossipChanges    = 5
	gossipTimeout    = 20 * time.Second
)

// Capacity measures how memory, traffic and CPU time grow with the size of the fleet.
func Capacity(ctx context.Context, bin, dir string, w *Writer) error {
	for _, n := range sideCounts {
		if err := measureProcesses(ctx, bin, dir, n, w); err != nil {
			return err
		}
	}
	for _, n := range gossipNodeCounts {
		if err := measureGossip(ctx, n, w); err != nil {
			return err
		}
	}
	return measureTables(w)
}

// measureProcesses measures a router and a side in a service with n further sides: idle, with links to nearly all sides, and
// while declarations change.
func measureProcesses(ctx context.Context, bin, dir string, n int, w *Writer) error {
	stubs, err := startStubs(n)
	if err != nil {
		return err
	}
	defer stubs.stop()
	f, err := fleet.Start(ctx, fleet.Options{
		BinDir: bin, SettingsDir: dir, Routers: 1, Engines: 1, DrainTime: 2 * time.Second, NoticeTime: 100 * time.Millisecond,
		EditDeclarations: func(d *settings.Declarations) { stubs.addTo(d, fleet.ModelService) },
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	time.Sleep(settleDelay)
	processes := map[string]process{
		"router": {pid: f.Routers[0].PID(), operator: f.Routers[0].Operator},
		"side":   {pid: f.Engines[0].Side.PID(), operator: f.Engines[0].Operator},
	}
	if err := observeAll(ctx, processes, fmt.Sprintf("declared_%d", n), w); err != nil {
		return err
	}
	if err := openLinks(ctx, f, n); err != nil {
		return err
	}
	if err := observeAll(ctx, processes, fmt.Sprintf("links_%d", n), w); err != nil {
		return err
	}
	stop := publishChanges(ctx, f)
	defer stop()
	return observeAll(ctx, processes, fmt.Sprintf("changes_%d", n), w)
}

// process is a process to measure.
type process struct {
	pid      int
	operator string
}

// observeAll writes the memory, CPU time, traffic and links of each process, measured over observeDuration. The names of the
// figures end in suffix.
func observeAll(ctx context.Context, processes map[string]process, suffix string, w *Writer) error {
	before := make(map[string]Usage)
	sent := make(map[string]float64)
	for name, o := range processes {
		u, err := readUsage(o.pid)
		if err != nil {
			return err
		}
		before[name] = u
		if sent[name], err = bytesOut(ctx, o.operator); err != nil {
			return err
		}
	}
	time.Sleep(observeDuration)
	for name, o := range processes {
		u, err := readUsage(o.pid)
		if err != nil {
			return err
		}
		now, err := bytesOut(ctx, o.operator)
		if err != nil {
			return err
		}
		var links []linkState
		if err := readSection(ctx, o.operator, "links", &links); err != nil {
			return err
		}
		seconds := observeDuration.Seconds()
		lines := []Line{
			{Name: name + "_resident_" + suffix, Value: float64(u.Resident), Unit: "bytes"},
			{Name: name + "_cores_" + suffix, Value: (u.CPU - before[name].CPU).Seconds() / seconds, Unit: "cores"},
			{Name: name + "_sent_" + suffix, Value: (now - sent[name]) / seconds, Unit: "bytes/s"},
			{Name: name + "_links_" + suffix, Value: float64(len(links)), Unit: "links"},
		}
		for _, l := range lines {
			if err := w.Write(l); err != nil {
				return err
			}
		}
	}
	return nil
}

// openLinks sends chats with different prompts until the router has opened links to nearly all of n sides. Uniform random
// placement needs about n*(ln n + 1) chats to reach every side.
func openLinks(ctx context.Context, f *fleet.Fleet, n int) error {
	c := fleet.NewClient(f.Routers[0].URL)
	defer c.Close()
	total := int(float64(n) * (math.Log(float64(n)) + 1))
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failed error
	start := time.Now()
	for i := range total {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / callsPerSecond)))
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

// publishChanges publishes small changes of the declarations at a constant rate until stop is called.
func publishChanges(ctx context.Context, f *fleet.Fleet) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		t := time.NewTicker(time.Second / changesPerSecond)
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

// gossipNode is one simulated participant in the gossip of declarations. All nodes run in this process.
type gossipNode struct {
	store    *revision.Store
	endpoint *peer.Endpoint
	service  *gossip.Service
}

// Serve passes messages to the gossip service.
func (n *gossipNode) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	n.service.Serve(ctx, st, m)
}

// measureGossip measures how long a change takes to reach all of n nodes and how many bytes each node sends for it.
func measureGossip(ctx context.Context, n int, w *Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	nodes, addresses, err := listenNodes(ctx, n, &wg)
	defer func() {
		cancel()
		for _, node := range nodes {
			node.endpoint.Close()
		}
	}()
	if err != nil {
		return err
	}
	startNodes(ctx, nodes, addresses, &wg)
	if _, err := waitForRevision(nodes, 1); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var slowest time.Duration
	before := totalBytesSent(nodes)
	for i := range gossipChanges {
		r := settings.Revision(i + 2)
		nodes[i].service.Offer(teamDelta(r))
		took, err := waitForRevision(nodes, r)
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
	}
	perNode := (totalBytesSent(nodes) - before) / float64(n) / gossipChanges
	if err := w.Write(Line{Name: fmt.Sprintf("spread_slowest_%d", n), Value: slowest.Seconds() * 1000, Unit: "ms", Target: 3000}); err != nil {
		return err
	}
	return w.Write(Line{Name: fmt.Sprintf("spread_sent_%d", n), Value: perNode, Unit: "bytes/node/change"})
}

func teamDelta(r settings.Revision) revision.Delta {
	return revision.Delta{From: r - 1, To: revision.Version{Revision: r}, Documents: []settings.Document{
		{Key: "teams/heads", Value: fmt.Sprintf("share: %d", r), Revision: r},
	}}
}

func listenNodes(ctx context.Context, n int, wg *sync.WaitGroup) ([]*gossipNode, []string, error) {
	allow, err := peer.ParseNetworks(settings.DefaultAllow)
	if err != nil {
		return nil, nil, err
	}
	var nodes []*gossipNode
	var addresses []string
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nodes, nil, errors.Wrap(err, "listening for a node")
		}
		node := &gossipNode{store: &revision.Store{}}
		node.endpoint = &peer.Endpoint{Handler: node, Allow: allow, LocalHello: func() peer.Hello {
			return peer.Hello{Protocol: peer.ProtocolVersion, Role: peer.RoleSide, ID: fmt.Sprint(i), Sent: clock.Boot{}.Now()}
		}}
		nodes = append(nodes, node)
		addresses = append(addresses, ln.Addr().String())
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = node.endpoint.Listen(ctx, ln)
		}()
	}
	return nodes, addresses, nil
}

func startNodes(ctx context.Context, nodes []*gossipNode, addresses []string, wg *sync.WaitGroup) {
	for i, node := range nodes {
		others := append(append([]string{}, addresses[:i]...), addresses[i+1:]...)
		node.service = &gossip.Service{
			Store:      node.store,
			Dialer:     node.endpoint,
			Log:        log.New(io.Discard),
			Candidates: func() []string { return others },
		}
	}
	_, _ = nodes[0].store.Offer(revision.Delta{To: revision.Version{Revision: 1}})
	for _, node := range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = node.service.Run(ctx, func() {})
		}()
	}
}

// waitForRevision waits until a revision is in force at every node and returns the time it took.
func waitForRevision(nodes []*gossipNode, r settings.Revision) (time.Duration, error) {
	startedAt := time.Now()
	for _, node := range nodes {
		for {
			if v, _ := node.store.Current(); v.Revision >= r {
				break
			}
			if time.Since(startedAt) > gossipTimeout {
				return 0, errors.Newf("revision %d is not in force at every node after %s", r, gossipTimeout)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(startedAt), nil
}

func totalBytesSent(nodes []*gossipNode) float64 {
	sum := 0.0
	for _, node := range nodes {
		for _, l := range node.endpoint.Links() {
			out, _ := l.Bytes()
			sum += float64(out)
		}
	}
	return sum
}

// measureTables measures the memory of a side's tables of cache owners and idempotency keys.
func measureTables(w *Writer) error {
	for _, n := range tableEntryCounts {
		table := &cacheowner.Table{MaxEntries: n}
		used := heapGrowth(func() {
			for i := range n {
				table.RecordServed(uint64(i)*0x9e3779b97f4a7c15, settings.UpstreamID(fmt.Sprintf("letterhouse-%04d", i%1015)))
			}
		})
		runtime.KeepAlive(table)
		if err := w.Write(Line{Name: fmt.Sprintf("directory_memory_%d", n), Value: used, Unit: "bytes"}); err != nil {
			return err
		}
		keys := &outcome.Keys{}
		used = heapGrowth(func() { fillKeys(keys, n) })
		runtime.KeepAlive(keys)
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

// heapGrowth returns the bytes by which the live heap grows in fill.
func heapGrowth(fill func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	fill()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}
