package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["crashing-request-with-new-query"] = crashingRequestWithNewQuery }

// crashingRequestWithNewQuery: a request that crashes each runner that begins to run it comes again with the same path, caller and body, and
// another query each time.
func crashingRequestWithNewQuery(rec *record, trouble bool) fault {
	const routers, runners, tries, stable = 3, 6, 12, 3 * time.Second
	f := newFleet(rec)
	current = f
	f.store.put("op/config", configuration(7, []route{plainRoute("r-commit", "/commit/", "permit-desk", "unsafe", 1)}, plainService("permit-desk")))
	c := &crowd{rec: rec, store: f.store, back: 3 * time.Second, make: func(id string) *runner {
		return &runner{id: id, service: "permit-desk", zone: "kano", version: "v1", slots: 6, queue: 24, work: 30 * time.Millisecond,
			crashesPlain: func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/commit/bad") }}
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
	time.Sleep(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	ask := func(router int, path, body string) {
		defer wg.Done()
		t := &try{id: newID(), method: http.MethodPost, path: path, body: []byte(body), left: 4 * time.Second}
		rec.add("request %s sent to router %d: %s", t.id, router, path)
		res := send(ctx, f.front(router), t)
		rec.add("request %s answered: status %d, error %v", t.id, res.status, res.err)
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ctx.Err() == nil; i++ {
			wg.Add(1)
			go ask(1+i%routers, fmt.Sprintf("/commit/%d", i), fmt.Sprint("fee=", i))
			time.Sleep(50 * time.Millisecond)
		}
	}()
	for i := range tries {
		if trouble {
			wg.Add(1)
			go ask(1+i%routers, fmt.Sprintf("/commit/bad?try=%d", i), "fee=12")
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(2 * time.Second)
	cancel()
	wg.Wait()
	crashes := c.crashed()
	if len(crashes) < 3 {
		return ""
	}
	bound := crashes[2].Add(stable)
	late := 0
	for _, a := range rec.all() {
		if strings.HasPrefix(a.path, "/commit/bad") && a.at.After(bound) {
			late++
		}
	}
	rec.add("%d crashes, the third at %.3f; later than %v after it %d retries reached runners", len(crashes), crashes[2].Sub(rec.began).Seconds(), stable, late)
	if late > 3 {
		return fault(fmt.Sprintf("BUDGET: a request that crashes the runners that run it reached runners in %d retries later than stable-ms after the third crash; allowed 3", late))
	}
	return ""
}
