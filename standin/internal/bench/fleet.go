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

// Parameters of the fleet measurement.
const (
	fleetEngines           = 20
	fleetRouters           = 3
	fleetChats             = 800
	fleetRequestsPerSecond = 40
	fleetWarmup            = 12 * time.Second
	fleetDuration          = 40 * time.Second
	fleetAnswerTokens      = 150
	fleetDecodeRate        = 30.0
	skewSampleInterval     = 250 * time.Millisecond
	fleetMultiple          = 1.25
	fleetSeed              = 1
	idleDuration           = 5 * time.Second
)

// admissionState is the measured part of a side's admission state, which is dumped as "door".
type admissionState struct {
	Load float64 `json:"load_tokens"`
}

// linkState is the measured part of a link's dumped state.
type linkState struct {
	BytesOut float64 `json:"bytes_out"`
}

// section is one section of a process's dump.
type section struct {
	Name  string          `json:"name"`
	State json.RawMessage `json:"state"`
}

// Fleet measures the reuse of cached prompt tokens, the skew of the load over the engines and the traffic of idle processes.
func Fleet(ctx context.Context, bin, dir string, w *Writer) error {
	f, err := fleet.Start(ctx, fleet.Options{
		BinDir: bin, SettingsDir: dir, Routers: fleetRouters, Engines: fleetEngines, DecodeRate: fleetDecodeRate,
		DrainTime: 15 * time.Second, NoticeTime: 100 * time.Millisecond,
		EditDeclarations: func(d *settings.Declarations) {
			s := d.Services[fleet.ModelService]
			s.Multiple = fleetMultiple
			s.DecodeRate = settings.Tokens(fleetDecodeRate)
			d.Services[fleet.ModelService] = s
			p := d.Profiles["answer"]
			p.ExpectedTokens = fleetAnswerTokens
			p.Deadline = time.Minute
			d.Profiles["answer"] = p
		},
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	if err := measureIdleTraffic(ctx, f, w); err != nil {
		return err
	}
	l := newChatLoad(f)
	skews := make(chan []float64, 1)
	go func() { skews <- sampleSkew(ctx, f) }()
	l.run(ctx)
	return l.writeFigures(w, <-skews, meanAttempts(f))
}

// measureIdleTraffic writes the bytes a second that an idle side and an idle router send.
func measureIdleTraffic(ctx context.Context, f *fleet.Fleet, w *Writer) error {
	time.Sleep(settleDelay)
	for name, address := range map[string]string{"side": f.Engines[0].Operator, "router": f.Routers[0].Operator} {
		before, err := bytesOut(ctx, address)
		if err != nil {
			return err
		}
		time.Sleep(idleDuration)
		after, err := bytesOut(ctx, address)
		if err != nil {
			return err
		}
		rate := (after - before) / idleDuration.Seconds()
		if err := w.Write(Line{Name: "control_payload_" + name, Value: rate, Unit: "bytes/s", Target: 2000}); err != nil {
			return err
		}
	}
	return nil
}

// bytesOut returns the bytes that a process has sent on its open links.
func bytesOut(ctx context.Context, operator string) (float64, error) {
	var links []linkState
	err := readSection(ctx, operator, "links", &links)
	sum := 0.0
	for _, l := range links {
		sum += l.BytesOut
	}
	return sum, err
}

// readSection decodes one section of a process's dump into v, which it leaves unchanged if there is no such section.
func readSection(ctx context.Context, operator, name string, v any) error {
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

// sampleSkew samples the skew of the engines' loads after the warm-up until the load ends.
func sampleSkew(ctx context.Context, f *fleet.Fleet) []float64 {
	var skews []float64
	end := time.Now().Add(fleetWarmup + fleetDuration)
	time.Sleep(fleetWarmup)
	for time.Now().Before(end) {
		if skew := currentSkew(ctx, f); skew > 0 {
			skews = append(skews, skew)
		}
		time.Sleep(skewSampleInterval)
	}
	return skews
}

// currentSkew returns the largest load of an engine divided by the mean load, or 0 without load.
func currentSkew(ctx context.Context, f *fleet.Fleet) float64 {
	loads := make([]float64, len(f.Engines))
	var wg sync.WaitGroup
	for i, u := range f.Engines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			var state admissionState
			if readSection(ctx, u.Operator, "door", &state) == nil {
				loads[i] = state.Load
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

// chatLoad sends further turns of a fixed set of chats at a constant rate.
type chatLoad struct {
	fleet *fleet.Fleet
	rng   *rand.Rand

	mu           sync.Mutex
	chats        [][]fleet.Message
	busy         []bool
	sent         int
	failed       int
	cachedTokens float64
	promptTokens float64
	failures     []string
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
	for i, r := range l.fleet.Routers {
		clients[i] = fleet.NewClient(r.URL)
		defer clients[i].Close()
	}
	var wg sync.WaitGroup
	total := int((fleetWarmup + fleetDuration).Seconds() * fleetRequestsPerSecond)
	start := time.Now()
	for n := range total {
		at := start.Add(time.Duration(n) * time.Second / fleetRequestsPerSecond)
		time.Sleep(time.Until(at))
		i := l.pickIdleChat()
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.sendTurn(ctx, clients[n%fleetRouters], i, at.After(start.Add(fleetWarmup)))
		}()
	}
	wg.Wait()
}

// pickIdleChat picks a random chat without an open request and marks it as busy.
func (l *chatLoad) pickIdleChat() int {
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

func (l *chatLoad) sendTurn(ctx context.Context, c *fleet.Client, i int, counted bool) {
	l.mu.Lock()
	messages := l.chats[i]
	l.mu.Unlock()
	res, err := c.Chat(ctx, fleet.ChatRequest{Model: "answer", Stream: true, MaxTokens: fleetAnswerTokens, Messages: messages})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy[i] = false
	l.sent++
	if err != nil || !res.Complete {
		l.failed++
		l.failures = append(l.failures, fmt.Sprintf("%v %+v", err, res.Code))
		return
	}
	if counted && len(messages) > 1 {
		l.cachedTokens += float64(res.CachedTokens)
		l.promptTokens += float64(res.PromptTokens)
	}
	l.chats[i] = append(messages[:len(messages):len(messages)],
		fleet.Message{Role: "assistant", Content: res.Text}, fleet.Message{Role: "user", Content: "And then?"})
}

// meanAttempts returns the mean number of attempts for each call, from the routers' logs.
func meanAttempts(f *fleet.Fleet) float64 {
	calls, attempts := 0.0, 0.0
	for _, r := range f.Routers {
		for _, line := range strings.Split(r.Log(), "\n") {
			var call struct {
				Msg      string  `json:"msg"`
				Attempts float64 `json:"attempts"`
			}
			if json.Unmarshal([]byte(line), &call) == nil && call.Msg == "call" {
				calls++
				attempts += call.Attempts
			}
		}
	}
	return attempts / max(1, calls)
}

func (l *chatLoad) writeFigures(w *Writer, skews []float64, attemptsPerCall float64) error {
	withinBound := 0.0
	durations := make([]time.Duration, len(skews))
	for i, s := range skews {
		durations[i] = time.Duration(s * float64(time.Millisecond))
		if s <= fleetMultiple {
			withinBound++
		}
	}
	for _, failure := range l.failures[:min(len(l.failures), 5)] {
		fmt.Fprintln(w.Notes, failure)
	}
	lines := []Line{
		{Name: "fleet_requests", Value: float64(l.sent), Unit: "requests"},
		{Name: "fleet_failed", Value: float64(l.failed), Unit: "requests"},
		{Name: "fleet_reuse", Value: l.cachedTokens / max(1, l.promptTokens), Unit: "share of returned prompt tokens"},
		{Name: "fleet_skew_p50", Value: quantile(durations, 0.5), Unit: "max/mean"},
		{Name: "fleet_skew_p99", Value: quantile(durations, 0.99), Unit: "max/mean"},
		{Name: "fleet_skew_max", Value: quantile(durations, 1), Unit: "max/mean", Target: fleetMultiple},
		{Name: "fleet_held", Value: withinBound / max(1, float64(len(skews))), Unit: "share of samples", Target: 1},
		{Name: "fleet_asks", Value: attemptsPerCall, Unit: "asks/request"},
	}
	for _, line := range lines {
		if err := w.Write(line); err != nil {
			return err
		}
	}
	return nil
}
