package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { cases["configuration-among-lost-routers"] = configurationAmongLostRouters }

// configurationAmongLostRouters: many routers lose power at the same moment, and the operator moves a route to another service meanwhile. The
// routers that are left are undisturbed.
func configurationAmongLostRouters(rec *record, trouble bool) fault {
	const routers, left, rounds = 16, 5, 9
	const apply, down, settle = 2 * time.Second, 5 * time.Second, 5 * time.Second
	f := newFleet(rec)
	current = f
	f.seeds = 3
	services := []map[string]any{plainService("permit-desk"), plainService("fixture-desk")}
	names := []string{"permit-desk", "fixture-desk"}
	version := 7
	put := func(service string) {
		f.store.put("op/config", configuration(version, []route{plainRoute("r-commit", "/commit/", service, "unsafe", 1)}, services...))
		rec.add("configuration %d is confirmed: route /commit/ goes to %s", version, service)
		version += 2
	}
	put(names[0])
	serviceOf := map[string]string{}
	for i, service := range []string{names[0], names[0], names[1], names[1]} {
		r := &runner{id: fmt.Sprintf("i-%04d", i+1), service: service, zone: "kano", version: "v1", slots: 6, queue: 24, work: 30 * time.Millisecond, rec: rec, store: f.store}
		r.start("")
		serviceOf[r.id] = service
	}
	var all []int
	for n := 1; n <= routers; n++ {
		f.start(n, true)
		all = append(all, n)
	}
	if !f.waitReady(15*time.Second, all...) {
		cannotRun("the routers are not ready")
	}
	time.Sleep(settle)
	var mu sync.Mutex
	old, sent := 0, 0
	sentTo := map[string]int{}
	due := map[string]string{}
	for round := range rounds {
		order := rand.Perm(routers)
		var alive, lost []int
		for i, n := range order {
			if i < left {
				alive = append(alive, n+1)
			} else {
				lost = append(lost, n+1)
			}
		}
		slices.Sort(alive)
		rec.add("round %d: routers %v stay", round+1, alive)
		if trouble {
			for _, n := range lost {
				f.signal(n, syscall.SIGKILL)
			}
		}
		begun := time.Now()
		time.Sleep(300 * time.Millisecond)
		service := names[(round+1)%2]
		put(service)
		confirmed := time.Now()
		time.Sleep(time.Until(confirmed.Add(apply + 50*time.Millisecond)))
		var wg sync.WaitGroup
		for time.Since(begun) < down-300*time.Millisecond {
			for _, n := range alive {
				t := &try{id: newID(), method: http.MethodPost, path: "/commit/x", body: []byte("fee=12"), left: 2 * time.Second}
				mu.Lock()
				sentTo[t.id], due[t.id] = n, service
				sent++
				mu.Unlock()
				wg.Add(1)
				go func() {
					defer wg.Done()
					at := time.Since(confirmed)
					res := send(context.Background(), f.front(n), t)
					rec.add("request %s sent to router %d, %d ms after the confirmation: status %d, body %q, error %v", t.id, n, at.Milliseconds(), res.status, res.body, res.err)
				}()
			}
			time.Sleep(200 * time.Millisecond)
		}
		wg.Wait()
		time.Sleep(time.Until(begun.Add(down)))
		if trouble {
			for _, n := range lost {
				f.start(n, false)
			}
		}
		if !f.waitReady(15*time.Second, all...) {
			cannotRun("the routers are not ready again")
		}
		time.Sleep(settle)
	}
	late := map[int]int{}
	for _, a := range rec.all() {
		if want := due[a.id]; want != "" && serviceOf[a.runner] != want {
			old++
			late[sentTo[a.id]]++
		}
	}
	rec.add("%d of %d requests sent later than %v after the confirmation were run by the old service; by router %v", old, sent, apply, late)
	if old > 0 {
		return fault(fmt.Sprintf("CONFIG: %d of %d requests sent later than config-apply-ms after the confirmation, to undisturbed routers, were run by the old service", old, sent))
	}
	return ""
}
