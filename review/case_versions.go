package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["streams-after-power-loss"] = streamsAfterPowerLoss }

// follow reads a stream as a requester does: it takes it up again after a broken channel and after a refusal, within its time.
func follow(f *fleet, rec *record, prefix string, first, routers int, budget time.Duration) []event {
	end := time.Now().Add(budget)
	t := &try{method: http.MethodPost, path: "/letters/new", prefix: prefix, body: fmt.Appendf(nil, "%s %0800d", prefix, rand.Uint64())}
	var events []event
	for n := 0; n < 8 && time.Until(end) > 200*time.Millisecond; n++ {
		t.id, t.left = newID(), time.Until(end)
		router := 1 + (first+n)%routers
		rec.add("request %s sent to router %d, after event %d, resumes %q", t.id, router, t.last, t.resumes)
		res := send(context.Background(), f.front(router), t)
		if len(res.events) > 0 {
			if t.resumes == "" {
				t.resumes = t.id
			}
			events = append(events, res.events...)
			t.last = events[len(events)-1].n
		}
		rec.add("request %s answered: status %d, %d events%s, whole %v, error %v", t.id, res.status, len(res.events), span(res.events), res.whole, res.err)
		if res.whole && res.status == http.StatusOK {
			break
		}
		pause := time.Second
		if res.retryAfter > 0 {
			pause = min(res.retryAfter, time.Until(end)/3)
		}
		time.Sleep(pause)
	}
	return events
}

func span(events []event) string {
	if len(events) == 0 {
		return ""
	}
	first, last := events[0], events[len(events)-1]
	return fmt.Sprintf(" (%d of %s to %d of %s)", first.n, first.version, last.n, last.version)
}

// mixed returns the number of streams with events of two versions.
func mixed(rec *record, streams [][]event) int {
	n := 0
	for i, events := range streams {
		versions := map[string]int{}
		for _, e := range events {
			versions[e.version]++
		}
		if len(versions) > 1 {
			n++
			rec.add("stream %d holds events of two versions: %v", i, versions)
		}
	}
	return n
}

// streamsAfterPowerLoss: the only runner of one version is lost at the moment at which all routers lose power.
func streamsAfterPowerLoss(rec *record, trouble bool) fault {
	const routers, streams = 3, 24
	const down = 5 * time.Second
	f := newFleet(rec)
	current = f
	f.store.put("op/config", configuration(7, []route{streamRoute("r-letters", "/letters/", "letterhouse", true, 2)}, engineService("letterhouse", 64)))
	var list []*runner
	for i, version := range []string{"v1", "v1", "v2"} {
		r := &runner{id: fmt.Sprintf("i-%04d", i+1), service: "letterhouse", zone: "kano", version: version, slots: 64, queue: 192, events: 76,
			gap: 100 * time.Millisecond, rec: rec, store: f.store}
		r.start("")
		list = append(list, r)
	}
	for n := 1; n <= routers; n++ {
		f.start(n, true)
	}
	if !f.waitReady(10*time.Second, 1, 2, 3) {
		cannotRun("the routers are not ready")
	}
	// The runners have served for a while.
	time.Sleep(34 * time.Second)
	var wg sync.WaitGroup
	got := make([][]event, streams)
	for i := range streams {
		wg.Add(1)
		prefix := fmt.Sprintf("5c1e07a2:512,d0c%05x:900,%08x:200", i, rand.Uint32())
		go func() {
			defer wg.Done()
			got[i] = follow(f, rec, prefix, i, routers, 15*time.Second)
		}()
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		list[2].crash("its machine loses power, and is lost for good")
		for n := 1; n <= routers; n++ {
			f.signal(n, syscall.SIGKILL)
		}
		time.Sleep(down)
		for n := 1; n <= routers; n++ {
			f.start(n, false)
		}
	}
	wg.Wait()
	if n := mixed(rec, got); n > 2 {
		return fault(fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions; allowed 2", n, streams))
	}
	return ""
}
