package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["prompts-with-less-in-common"] = promptsWithLessInCommon }

// promptsWithLessInCommon: requests with a part that crashes runners come one a second. The first ones go on a long shared history, the
// later ones on shorter and shorter ones, so that each has less in common with those before it than the one before.
func promptsWithLessInCommon(rec *record, trouble bool) fault {
	const routers, runners, history, first, stable = 3, 8, 10, 4, 3 * time.Second
	f := newFleet(rec)
	current = f
	f.store.put("op/config", configuration(7, []route{streamRoute("r-letters", "/letters/", "letterhouse", true, 2)}, engineService("letterhouse", 64)))
	c := &crowd{rec: rec, store: f.store, back: 3 * time.Second, make: func(id string) *runner {
		return &runner{id: id, service: "letterhouse", zone: "kano", version: "v1", slots: 64, queue: 192, events: 12, gap: 30 * time.Millisecond,
			crashes: func(r *http.Request) bool { return strings.Contains(r.Header.Get("Prompt-Prefix"), badPart) }}
	}}
	for range runners {
		c.start("")
	}
	for n := 1; n <= routers; n++ {
		f.start(n, true)
	}
	if !f.waitReady(10*time.Second, 1, 2, 3) {
		cannotRun("the routers are not ready")
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var sent, served atomic.Int64
	ask := func(router int, prefix, what string) {
		defer wg.Done()
		t := &try{id: newID(), method: http.MethodPost, path: "/letters/new", prefix: prefix, body: fmt.Appendf(nil, "%s %0800d", prefix, rand.Uint64()), left: 12 * time.Second}
		rec.add("request %s sent to router %d: %s, prompt %s", t.id, router, what, prefix)
		res := send(ctx, f.front(router), t)
		rec.add("request %s answered: %s, status %d, %d events, whole %v, error %v", t.id, what, res.status, len(res.events), res.whole, res.err)
		if what == "sound" {
			sent.Add(1)
			if res.whole && res.status == http.StatusOK {
				served.Add(1)
			}
		}
	}
	// prompt returns a prompt with a beginning, the first parts of the shared history and a last part of its own.
	prompt := func(beginning string, length int) string {
		parts := []string{beginning}
		for i := range length {
			parts = append(parts, fmt.Sprintf("d0c%05x:150", i))
		}
		return strings.Join(append(parts, fmt.Sprintf("%08x:200", rand.Uint32())), ",")
	}
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			wg.Add(1)
			go ask(1+i%routers, prompt("5c1e07a2:512", i%(history+1)), "sound")
			time.Sleep(100 * time.Millisecond)
		}
	}()
	time.Sleep(6 * time.Second)
	for i := range first + history {
		if trouble {
			wg.Add(1)
			go ask(1+i%routers, prompt(badPart+":512", min(history, history+first-1-i)), "bad part")
		}
		time.Sleep(time.Second)
	}
	time.Sleep(4 * time.Second)
	cancel()
	wg.Wait()
	crashes := c.crashed()
	rec.add("%d crashes of runners; %d of %d sound requests served", len(crashes), served.Load(), sent.Load())
	if len(crashes) < 5 {
		return ""
	}
	bound := crashes[4].Add(stable)
	late := map[string]bool{}
	arrivals := 0
	for _, a := range rec.all() {
		if strings.Contains(a.prefix, badPart) && a.at.After(bound) {
			late[a.id] = true
			arrivals++
		}
	}
	rec.add("fifth crash at %.3f; later than %v after it %d requests with the part reached runners, in %d runs",
		crashes[4].Sub(rec.began).Seconds(), stable, len(late), arrivals)
	if len(late) > 3 {
		return fault(fmt.Sprintf("BUDGET: %d requests with the part that crashes runners reached runners later than stable-ms after the fifth crash; allowed 3; %d crashes", len(late), len(crashes)))
	}
	return ""
}
