package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// badPart is the part of a prompt that crashes each runner that begins to write an answer on it.
const badPart = "badbad01"

// crowd is a set of runners that come back some seconds after a crash, each time as a new process with a new id.
type crowd struct {
	rec   *record
	store *store
	back  time.Duration
	next  atomic.Int64
	make  func(id string) *runner

	mu      sync.Mutex
	crashes []time.Time
}

func (c *crowd) start(address string) {
	r := c.make(fmt.Sprintf("i-%04d", c.next.Add(1)))
	r.rec, r.store = c.rec, c.store
	r.onCrash = func(r *runner) {
		c.mu.Lock()
		c.crashes = append(c.crashes, time.Now())
		c.mu.Unlock()
		time.AfterFunc(c.back, func() { c.start(r.address) })
	}
	r.start(address)
}

func (c *crowd) crashed() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time(nil), c.crashes...)
}
