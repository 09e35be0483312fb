package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["bytes-without-seal"] = bytesWithoutSeal }

// page is what a faulty runner sends in place of its answer: bytes of something else, without the request's id and without a seal.
const page = "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 29\r\n\r\n<html><p>It works!</p></html>"

// bytesWithoutSeal: half of the runners spoil two in a hundred of their answers.
func bytesWithoutSeal(rec *record, trouble bool) fault {
	const routers, runners, requests = 3, 4, 700
	const share, part = 0.5, 0.02
	f := newFleet(rec)
	current = f
	f.store.put("op/config", configuration(7, []route{
		plainRoute("r-commit", "/commit/", "permit-desk", "unsafe", 1), plainRoute("r-status", "/status/", "permit-desk", "safe", 2),
	}, plainService("permit-desk")))
	for i := range runners {
		faulty := trouble && float64(i) < share*runners
		r := &runner{id: fmt.Sprintf("i-%04d", i+1), service: "permit-desk", zone: "kano", version: "v1", slots: 6, queue: 24,
			work: 30 * time.Millisecond, idle: 2 * time.Second, rec: rec, store: f.store}
		r.spoils = func(*http.Request) []byte {
			if faulty && rand.Float64() < part {
				return []byte(page)
			}
			return nil
		}
		r.start("")
	}
	for n := 1; n <= routers; n++ {
		f.start(n, true)
	}
	if !f.waitReady(10*time.Second, 1, 2, 3) {
		cannotRun("the routers are not ready")
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, unsealed := 0, 0
	for i := range requests {
		t := &try{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/commit/%d", i), body: []byte("fee=12"), left: 4 * time.Second}
		if i%3 == 2 {
			t.method, t.path, t.body = http.MethodGet, fmt.Sprintf("/status/%d", i), nil
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			rec.add("request %s sent to router %d: %s %s", t.id, 1+i%routers, t.method, t.path)
			res := send(context.Background(), f.front(1+i%routers), t)
			rec.add("request %s answered: status %d, seal %q, body %q, complete %v, error %v", t.id, res.status, res.seal, res.body, res.whole, res.err)
			mu.Lock()
			defer mu.Unlock()
			if res.status/100 == 2 && res.whole {
				served++
				if res.seal == "" {
					unsealed++
					rec.add("request %s: a success without the runner's seal", t.id)
				}
			}
		}()
		time.Sleep(120 * time.Millisecond)
	}
	wg.Wait()
	rec.add("%d successes, %d of them without a seal", served, unsealed)
	if unsealed > 0 {
		return fault(fmt.Sprintf("MIXED: %d of %d successes have no Response-Seal of a runner", unsealed, served))
	}
	return ""
}
