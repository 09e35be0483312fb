package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["tenant-with-capital-letter"] = tenantWithCapitalLetter }

// tenantWithCapitalLetter: a new configuration moves a route to another service and adds a tenant. Without the disruption the tenant's name
// has small letters only.
func tenantWithCapitalLetter(rec *record, trouble bool) fault {
	const routers, apply = 3, 2 * time.Second
	f := newFleet(rec)
	current = f
	services := []map[string]any{plainService("permit-desk"), plainService("fixture-desk")}
	f.store.put("op/config", configuration(7, []route{plainRoute("r-commit", "/commit/", "permit-desk", "unsafe", 1)}, services...))
	serviceOf := map[string]string{}
	for i, service := range []string{"permit-desk", "permit-desk", "fixture-desk", "fixture-desk"} {
		r := &runner{id: fmt.Sprintf("i-%04d", i+1), service: service, zone: "kano", version: "v1", slots: 6, queue: 24, work: 30 * time.Millisecond, rec: rec, store: f.store}
		r.start("")
		serviceOf[r.id] = service
	}
	for n := 1; n <= routers; n++ {
		f.start(n, true)
	}
	if !f.waitReady(10*time.Second, 1, 2, 3) {
		cannotRun("the routers are not ready")
	}
	time.Sleep(2 * time.Second)
	next := configuration(9, []route{plainRoute("r-commit", "/commit/", "fixture-desk", "unsafe", 1)}, services...)
	name := "kaduna-north"
	if trouble {
		name = "Kaduna-North"
	}
	next["tenants"] = append(next["tenants"].([]any), map[string]any{"name": name, "api-keys": []any{"qk3vd8sn2mf0ah5lw7zt"}, "priority": 1})
	f.store.put("op/config", next)
	confirmed := time.Now()
	rec.add("configuration 9 is confirmed: route /commit/ goes to fixture-desk, new tenant %s", name)
	time.Sleep(apply + 100*time.Millisecond)
	var wg sync.WaitGroup
	for i := range 100 {
		t := &try{id: newID(), method: http.MethodPost, path: fmt.Sprintf("/commit/%d", i), body: []byte("fee=12"), left: 4 * time.Second}
		wg.Add(1)
		go func() {
			defer wg.Done()
			rec.add("request %s sent to router %d", t.id, 1+i%routers)
			res := send(context.Background(), f.front(1+i%routers), t)
			rec.add("request %s answered: status %d, error %v", t.id, res.status, res.err)
		}()
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	old := 0
	for _, a := range rec.all() {
		if serviceOf[a.runner] == "permit-desk" && a.at.Sub(confirmed) > apply {
			old++
		}
	}
	rec.add("%d of 100 requests sent later than %v after the confirmation were run by the old service", old, apply)
	if old > 0 {
		return fault(fmt.Sprintf("CONFIG: %d of 100 requests sent later than config-apply-ms after the confirmation were run by the old service", old))
	}
	return ""
}
