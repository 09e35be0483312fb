package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["entry-of-another-writer"] = entryOfAnotherWriter }

// entryOfAnotherWriter: another writer writes entries with fields missing.
func entryOfAnotherWriter(rec *record, trouble bool) fault {
	const routers, entries = 3, 6
	f := newFleet(rec)
	current = f
	f.store.put("op/config", configuration(7, []route{
		plainRoute("r-commit", "/commit/", "permit-desk", "unsafe", 1), plainRoute("r-order", "/order/", "fixture-desk", "unsafe", 1),
	}, plainService("permit-desk"), plainService("fixture-desk")))
	services := map[string]string{}
	var others []*runner
	for i, service := range []string{"permit-desk", "permit-desk", "permit-desk", "fixture-desk", "fixture-desk", "fixture-desk"} {
		r := &runner{id: fmt.Sprintf("i-%04d", i+1), service: service, zone: "kano", version: "v1", slots: 6, queue: 24,
			work: 30 * time.Millisecond, rec: rec, store: f.store}
		r.start("")
		services[r.id] = service
		if service == "fixture-desk" {
			others = append(others, r)
		}
	}
	for n := 1; n <= routers; n++ {
		f.start(n, true)
	}
	if !f.waitReady(10*time.Second, 1, 2, 3) {
		cannotRun("the routers are not ready")
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	sentTo, answered, foreign := map[string]string{}, 0, 0
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ctx.Err() == nil; i++ {
			t := &try{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/commit/%d", i), body: []byte("fee=12"), left: 4 * time.Second}
			if i%2 == 1 {
				t.path = fmt.Sprintf("/order/%d", i)
			}
			mu.Lock()
			sentTo[t.id] = map[int]string{0: "permit-desk", 1: "fixture-desk"}[i%2]
			mu.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				rec.add("request %s sent to router %d: %s %s", t.id, 1+i%routers, t.method, t.path)
				res := send(context.Background(), f.front(1+i%routers), t)
				rec.add("request %s answered: status %d, body %q, error %v", t.id, res.status, res.body, res.err)
				mu.Lock()
				answered++
				mu.Unlock()
			}()
			time.Sleep(20 * time.Millisecond)
		}
	}()
	time.Sleep(3 * time.Second)
	for i := range entries {
		if r := others[i%len(others)]; trouble {
			// Without version, cold-remaining-ms and born.
			f.store.put("servers/"+r.id, map[string]any{
				"service": "permit-desk", "address": r.address, "zone": r.zone, "slots": r.slots, "state": "ready", "sequence": 1,
			})
			rec.add("another writer writes the entry %s, with service permit-desk, and without version, cold-remaining-ms and born", r.id)
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(2 * time.Second)
	cancel()
	wg.Wait()
	for _, a := range rec.all() {
		if services[a.runner] != sentTo[a.id] {
			foreign++
			rec.add("request %s of service %s was run by %s of service %s", a.id, sentTo[a.id], a.runner, services[a.runner])
		}
	}
	rec.add("%d requests answered, %d run by a service that no configuration allows them", answered, foreign)
	if foreign > 0 {
		return fault(fmt.Sprintf("ROUTE: %d requests were run by a service to which no configuration allows them to go", foreign))
	}
	return ""
}
