package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"rattantrack.dev/core/settings"
	"rattantrack.dev/standin/internal/fleet"
)

// Shape of the fleet measurement.
const (
	fleetEngines  = 20
	fleetRouters  = 3
	fleetChats    = 800
	fleetRate     = 40 // requests a second
	fleetWarm     = 12 * time.Second
	fleetTime     = 40 * time.Second
	fleetTokens   = 150
	fleetDecode   = 30.0
	fleetSample   = 250 * time.Millisecond
	fleetMultiple = 1.25
	fleetSeed     = 1
	idleTime      = 5 * time.Second
)

// door is the part of a side's state that is measured.
type door struct {
	Load float64 `json:"load_tokens"`
}

// link is the part of a link's state that is measured.
type link struct {
	BytesOut float64 `json:"bytes_out"`
}

// section is one part of a process's state.
type section struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// Fleet measures reuse, skew and control traffic in running processes.
func Fleet(ctx context.Context, bin, dir string, w *Writer) error {
	f, err := fleet.Start(ctx, fleet.Options{
		Bin: bin, Dir: dir, Routers: fleetRouters, Engines: fleetEngines, DecodeRate: fleetDecode,
		DrainTime: 15 * time.Second, NoticeTime: 100 * time.Millisecond,
		Declare: func(d *settings.Declarations) {
			s := d.Services[fleet.ModelService]
			s.Multiple = fleetMultiple
			s.DecodeRate = settings.Tokens(fleetDecode)
			d.Services[fleet.ModelService] = s
			p := d.Profiles["answer"]
			p.ExpectedTokens = fleetTokens
			p.Deadline = time.Minute
			d.Profiles["answer"] = p
		},
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	if err := control(ctx, f, w); err != nil {
		return err
	}
	l := newChatLoad(f)
	skews := make(chan []float64, 1)
	go func() { skews <- sampleSkew(ctx, f) }()
	l.run(ctx)
	return l.report(w, <-skews, asksOf(f))
}

// control writes what an idle side and router send a second.
func control(ctx context.Context, f *fleet.Fleet, w *Writer) error {
	time.Sleep(settleTime)
	for name, address := range map[string]string{"side": f.Engines[0].Operator, "router": f.Routers[0].Operator} {
		before, err := bytesOut(ctx, address)
		if err != nil {
			return err
		}
		time.Sleep(idleTime)
		after, err := bytesOut(ctx, address)
		if err != nil {
			return err
		}
		rate := (after - before) / idleTime.Seconds()
		if err := w.Write(Line{Name: "control_payload_" + name, Value: rate, Unit: "bytes/s", Target: 2000}); err != nil {
			return err
		}
	}
	return nil
}

func bytesOut(ctx context.Context, operator string) (float64, error) {
	var links []link
	err := part(ctx, operator, "links", &links)
	sum := 0.0
	for _, l := range links {
		sum += l.BytesOut
	}
	return sum, err
}

// part decodes one part of a process's state.
func part(ctx context.Context, operator, name string, v any) error {
	var sections []section
	if err := fleet.Get(ctx, "http://"+operator+"/dump", &sections); err != nil {
		return err
	}
	for _, s := range sections {
		if s.Name == name {
			return json.Unmarshal(s.State, v)
		}
	}
	return nil
}

// sampleSkew samples the largest load over the mean while the load runs.
func sampleSkew(ctx context.Context, f *fleet.Fleet) []float64 {
	var skews []float64
	end := time.Now().Add(fleetWarm + fleetTime)
	time.Sleep(fleetWarm)
	for time.Now().Before(end) {
		if skew := skewNow(ctx, f); skew > 0 {
			skews = append(skews, skew)
		}
		time.Sleep(fleetSample)
	}
	return skews
}

func skewNow(ctx context.Context, f *fleet.Fleet) float64 {
	loads := make([]float64, len(f.Engines))
	var wg sync.WaitGroup
	for i, u := range f.Engines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var d door
			if part(ctx, u.Operator, "door", &d) == nil {
				loads[i] = d.Load
			}
		}()
	}
	wg.Wait()
	largest, sum := 0.0, 0.0
	for _, l := range loads {
		largest = max(largest, l)
		sum += l
	}
	if sum == 0 {
		return 0
	}
	return largest * float64(len(loads)) / sum
}

// chatLoad is returning chats at a steady rate.
type chatLoad struct {
	fleet *fleet.Fleet
	rng   *rand.Rand

	mu       sync.Mutex
	chats    [][]fleet.Message
	busy     []bool
	sent     int
	failed   int
	reused   float64
	returned float64
	words    []string
}

func newChatLoad(f *fleet.Fleet) *chatLoad {
	l := &chatLoad{fleet: f, rng: rand.New(rand.NewPCG(fleetSeed, 1)), busy: make([]bool, fleetChats)}
	for i := range fleetChats {
		text := fmt.Sprintf("chat %d: ", i) + strings.Repeat("policy pack text ", 40+l.rng.IntN(200))
		l.chats = append(l.chats, []fleet.Message{{Role: "user", Content: text}})
	}
	return l
}

func (l *chatLoad) run(ctx context.Context) {
	clients := make([]*fleet.Client, fleetRouters)
	for i, e := range l.fleet.Routers {
		clients[i] = fleet.NewClient(e.URL)
		defer clients[i].Close()
	}
	var wg sync.WaitGroup
	total := int((fleetWarm + fleetTime).Seconds() * fleetRate)
	start := time.Now()
	for n := range total {
		at := start.Add(time.Duration(n) * time.Second / fleetRate)
		time.Sleep(time.Until(at))
		i := l.pick()
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.turn(ctx, clients[n%fleetRouters], i, at.After(start.Add(fleetWarm)))
		}()
	}
	wg.Wait()
}

// pick draws a chat that waits for no answer.
func (l *chatLoad) pick() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		i := l.rng.IntN(fleetChats)
		if !l.busy[i] {
			l.busy[i] = true
			return i
		}
	}
}

func (l *chatLoad) turn(ctx context.Context, c *fleet.Client, i int, counted bool) {
	l.mu.Lock()
	messages := l.chats[i]
	l.mu.Unlock()
	a, err := c.Chat(ctx, fleet.ChatRequest{Model: "answer", Stream: true, MaxTokens: fleetTokens, Messages: messages})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy[i] = false
	l.sent++
	if err != nil || !a.Whole {
		l.failed++
		l.words = append(l.words, fmt.Sprintf("%v %+v", err, a.Code))
		return
	}
	if counted && len(messages) > 1 {
		l.reused += float64(a.Cached)
		l.returned += float64(a.Prompt)
	}
	l.chats[i] = append(messages[:len(messages):len(messages)],
		fleet.Message{Role: "assistant", Content: a.Text}, fleet.Message{Role: "user", Content: "And then?"})
}

// asksOf reads from the routers' logs how many sides were asked for each call.
func asksOf(f *fleet.Fleet) float64 {
	calls, asks := 0.0, 0.0
	for _, e := range f.Routers {
		for _, line := range strings.Split(e.Log(), "\n") {
			var call struct {
				Msg      string  `json:"msg"`
				Attempts float64 `json:"attempts"`
			}
			if json.Unmarshal([]byte(line), &call) == nil && call.Msg == "call" {
				calls++
				asks += call.Attempts
			}
		}
	}
	return asks / max(1, calls)
}

func (l *chatLoad) report(w *Writer, skews []float64, asks float64) error {
	held := 0.0
	list := make([]time.Duration, len(skews))
	for i, s := range skews {
		list[i] = time.Duration(s * float64(time.Millisecond))
		if s <= fleetMultiple {
			held++
		}
	}
	for _, words := range l.words[:min(len(l.words), 5)] {
		fmt.Fprintln(w.Notes, words)
	}
	lines := []Line{
		{Name: "fleet_requests", Value: float64(l.sent), Unit: "requests"},
		{Name: "fleet_failed", Value: float64(l.failed), Unit: "requests"},
		{Name: "fleet_reuse", Value: l.reused / max(1, l.returned), Unit: "share of returned prompt tokens"},
		{Name: "fleet_skew_p50", Value: quantile(list, 0.5), Unit: "max/mean"},
		{Name: "fleet_skew_p99", Value: quantile(list, 0.99), Unit: "max/mean"},
		{Name: "fleet_skew_max", Value: quantile(list, 1), Unit: "max/mean", Target: fleetMultiple},
		{Name: "fleet_held", Value: held / max(1, float64(len(skews))), Unit: "share of samples", Target: 1},
		{Name: "fleet_asks", Value: asks, Unit: "asks/request"},
	}
	for _, line := range lines {
		if err := w.Write(line); err != nil {
			return err
		}
	}
	return nil
}
