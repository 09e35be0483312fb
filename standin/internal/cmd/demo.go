package cmd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/standin/internal/fleet"
	"rattantrack.dev/standin/internal/plain"
)

type demoCmd struct {
	Bin string `default:"bin" help:"Directory of the programs."`
}

// demoTimeout bounds the duration of the demo.
const demoTimeout = time.Minute

// demo is a running demo.
type demo struct {
	fleet        *fleet.Fleet
	chat         fleet.ChatRequest
	lastResponse fleet.Response
}

// demoStep is one step of the demo; run returns a summary of what it has shown.
type demoStep struct {
	title string
	run   func(d *demo, ctx context.Context) (string, error)
}

// demoSteps lists the steps in order.
var demoSteps = []demoStep{
	{"a chat of four turns through either router", (*demo).runChat},
	{"the cached prefix is reused", (*demo).checkReuse},
	{"a fee is debited once", (*demo).debit},
	{"an upstream is taken away", (*demo).stopUpstream},
	{"a process shows its state", (*demo).showDump},
	{"everything stops cleanly", (*demo).stop},
}

// Run starts a small fleet and runs the steps; it stops at the first step that fails and returns its error.
func (c *demoCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	dir, err := os.MkdirTemp("", "rattantrack-demo")
	if err != nil {
		return errors.Wrap(err, "creating a temporary directory")
	}
	defer os.RemoveAll(dir)
	bin, err := filepath.Abs(c.Bin)
	if err != nil {
		return errors.Wrap(err, "resolving the directory of the programs")
	}
	fmt.Println("starting 2 routers, 3 engines, 2 plain services, their sides and the platform's stand-ins")
	f, err := fleet.Start(ctx, fleet.Options{
		BinDir: bin, SettingsDir: dir, Routers: 2, Engines: 3, PlainServices: 2,
		DrainTime: 5 * time.Second, NoticeTime: 200 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	d := &demo{fleet: f}
	for _, step := range demoSteps {
		summary, err := step.run(d, ctx)
		if err != nil {
			fmt.Printf("FAILED  %s: %v\n", step.title, err)
			return errors.Wrap(err, step.title)
		}
		fmt.Printf("ok      %s: %s\n", step.title, summary)
	}
	return nil
}

func (d *demo) client(i int) *fleet.Client {
	return fleet.NewClient(d.fleet.Routers[i%len(d.fleet.Routers)].URL)
}

func (d *demo) turn(ctx context.Context, i int) error {
	c := d.client(i)
	defer c.Close()
	res, err := c.Chat(ctx, d.chat)
	if err != nil {
		return err
	}
	if !res.Complete || res.Status != http.StatusOK {
		return errors.Newf("turn %d ended with status %d, code %q", i, res.Status, res.Code)
	}
	d.lastResponse = res
	d.chat.Messages = append(d.chat.Messages,
		fleet.Message{Role: "assistant", Content: res.Text},
		fleet.Message{Role: "user", Content: "And after that?"})
	return nil
}

func (d *demo) runChat(ctx context.Context) (string, error) {
	d.chat = fleet.ChatRequest{Model: "answer", Stream: true, Messages: []fleet.Message{
		{Role: "user", Content: "Which bus goes to the museum on Friday, and may my daughter take her own lunch?"},
	}}
	for i := range 4 {
		if err := d.turn(ctx, i); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d tokens in the last answer, from %s", d.lastResponse.Tokens, d.lastResponse.Upstream), nil
}

func (d *demo) checkReuse(context.Context) (string, error) {
	if d.lastResponse.CachedTokens == 0 {
		return "", errors.New("the engine found nothing of the chat in its cache")
	}
	return fmt.Sprintf("%d prompt tokens were cached in the fourth turn", d.lastResponse.CachedTokens), nil
}

func (d *demo) debit(ctx context.Context) (string, error) {
	c := d.client(0)
	defer c.Close()
	ticket, err := c.RequestTicket(ctx, "debit")
	if err != nil {
		return "", err
	}
	header := http.Header{"Rattantrack-Ticket": []string{ticket}}
	for i := range 3 {
		client := d.client(i)
		res, err := client.CallPlain(ctx, http.MethodPost, "debit", "/fees", "museum fee", header)
		client.Close()
		if err != nil {
			return "", err
		}
		if res.Status != http.StatusOK {
			return "", errors.Newf("debit answered %d, code %q", res.Status, res.Code)
		}
	}
	runs := 0
	for _, u := range d.fleet.PlainServices {
		var list []plain.Run
		if err := fleet.Get(ctx, u.URL+"/runs", &list); err != nil {
			return "", err
		}
		runs += len(list)
	}
	if runs != 1 {
		return "", errors.Newf("the debit ran %d times", runs)
	}
	return "sent three times through both routers, run once", nil
}

func (d *demo) stopUpstream(ctx context.Context) (string, error) {
	for _, u := range d.fleet.Engines {
		if string(u.ID) != d.lastResponse.Upstream {
			continue
		}
		if err := u.Side.Stop(); err != nil {
			return "", err
		}
	}
	before := d.lastResponse.Upstream
	if err := d.turn(ctx, 1); err != nil {
		return "", err
	}
	if d.lastResponse.Upstream == before {
		return "", errors.New("the upstream that left still served")
	}
	return fmt.Sprintf("%s left, %s went on with the chat", before, d.lastResponse.Upstream), nil
}

func (d *demo) showDump(ctx context.Context) (string, error) {
	var sections []struct {
		Name string `json:"name"`
	}
	r := d.fleet.Routers[0]
	if err := fleet.Get(ctx, "http://"+r.Operator+"/dump", &sections); err != nil {
		return "", err
	}
	if len(sections) == 0 {
		return "", errors.New("the dump is empty")
	}
	return fmt.Sprintf("%s has %d parts, see http://%s/dump while it runs", r.Name, len(sections), r.Operator), nil
}

func (d *demo) stop(context.Context) (string, error) {
	return "every process ended with code 0", d.fleet.Stop()
}
