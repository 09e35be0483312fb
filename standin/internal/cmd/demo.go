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

// demoLimit bounds the whole demo.
const demoLimit = time.Minute

// demo is a running demo with what it has shown so far.
type demo struct {
	fleet *fleet.Fleet
	chat  fleet.ChatRequest
	last  fleet.Answer
}

// demoStep is one thing that the demo shows.
type demoStep struct {
	title string
	run   func(d *demo, ctx context.Context) (string, error)
}

// demoSteps lists what is shown, in order.
var demoSteps = []demoStep{
	{"a chat of four turns through either router", (*demo).talk},
	{"the cached prefix is reused", (*demo).reuse},
	{"a fee is debited once", (*demo).debit},
	{"an upstream is taken away", (*demo).takeAway},
	{"a process shows its state", (*demo).dump},
	{"everything stops cleanly", (*demo).stop},
}

// Run starts a small fleet, shows what it does, and fails if any of it did not hold.
func (c *demoCmd) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	dir, err := os.MkdirTemp("", "rattantrack-demo")
	if err != nil {
		return errors.Wrap(err, "making a directory")
	}
	defer os.RemoveAll(dir)
	bin, err := filepath.Abs(c.Bin)
	if err != nil {
		return errors.Wrap(err, "finding the programs")
	}
	fmt.Println("starting 2 routers, 3 engines, 2 plain services, their sides and the platform's stand-ins")
	f, err := fleet.Start(ctx, fleet.Options{
		Bin: bin, Dir: dir, Routers: 2, Engines: 3, Plains: 2,
		DrainTime: 5 * time.Second, NoticeTime: 200 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	defer func() { _ = f.Stop() }()
	d := &demo{fleet: f}
	for _, step := range demoSteps {
		shown, err := step.run(d, ctx)
		if err != nil {
			fmt.Printf("FAILED  %s: %v\n", step.title, err)
			return errors.Wrap(err, step.title)
		}
		fmt.Printf("ok      %s: %s\n", step.title, shown)
	}
	return nil
}

func (d *demo) client(i int) *fleet.Client {
	return fleet.NewClient(d.fleet.Routers[i%len(d.fleet.Routers)].URL)
}

func (d *demo) turn(ctx context.Context, i int) error {
	c := d.client(i)
	defer c.Close()
	a, err := c.Chat(ctx, d.chat)
	if err != nil {
		return err
	}
	if !a.Whole || a.Status != http.StatusOK {
		return errors.Newf("turn %d ended with status %d, code %q", i, a.Status, a.Code)
	}
	d.last = a
	d.chat.Messages = append(d.chat.Messages,
		fleet.Message{Role: "assistant", Content: a.Text},
		fleet.Message{Role: "user", Content: "And after that?"})
	return nil
}

func (d *demo) talk(ctx context.Context) (string, error) {
	d.chat = fleet.ChatRequest{Model: "answer", Stream: true, Messages: []fleet.Message{
		{Role: "user", Content: "Which bus goes to the museum on Friday, and may my daughter take her own lunch?"},
	}}
	for i := range 4 {
		if err := d.turn(ctx, i); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d tokens in the last answer, from %s", d.last.Tokens, d.last.Upstream), nil
}

func (d *demo) reuse(context.Context) (string, error) {
	if d.last.Cached == 0 {
		return "", errors.New("the engine found nothing of the chat in its cache")
	}
	return fmt.Sprintf("%d prompt tokens were cached in the fourth turn", d.last.Cached), nil
}

func (d *demo) debit(ctx context.Context) (string, error) {
	c := d.client(0)
	defer c.Close()
	ticket, err := c.Ticket(ctx, "debit")
	if err != nil {
		return "", err
	}
	header := http.Header{"Rattantrack-Ticket": []string{ticket}}
	for i := range 3 {
		again := d.client(i)
		a, err := again.Plain(ctx, http.MethodPost, "debit", "/fees", "museum fee", header)
		again.Close()
		if err != nil {
			return "", err
		}
		if a.Status != http.StatusOK {
			return "", errors.Newf("debit answered %d, code %q", a.Status, a.Code)
		}
	}
	runs := 0
	for _, u := range d.fleet.Plains {
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

func (d *demo) takeAway(ctx context.Context) (string, error) {
	for _, u := range d.fleet.Engines {
		if string(u.ID) != d.last.Upstream {
			continue
		}
		if err := u.Side.Stop(); err != nil {
			return "", err
		}
	}
	before := d.last.Upstream
	if err := d.turn(ctx, 1); err != nil {
		return "", err
	}
	if d.last.Upstream == before {
		return "", errors.New("the upstream that left still served")
	}
	return fmt.Sprintf("%s left, %s went on with the chat", before, d.last.Upstream), nil
}

func (d *demo) dump(ctx context.Context) (string, error) {
	var sections []struct {
		Name string `json:"name"`
	}
	e := d.fleet.Routers[0]
	if err := fleet.Get(ctx, "http://"+e.Operator+"/dump", &sections); err != nil {
		return "", err
	}
	if len(sections) == 0 {
		return "", errors.New("the dump is empty")
	}
	return fmt.Sprintf("%s has %d parts, see http://%s/dump while it runs", e.Name, len(sections), e.Operator), nil
}

func (d *demo) stop(context.Context) (string, error) {
	return "every process ended with code 0", d.fleet.Stop()
}
