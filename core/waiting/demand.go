package waiting

import (
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// demandTime is how long requests of a rank count as demand after the last one.
const demandTime = 2 * time.Second

// queueShare is the share of the shortest objective that requests may wait for a slot. The rest is for the prefill and the way.
const queueShare = 0.5

// maxDemandRanks bounds the ranks of a service.
const maxDemandRanks = 16

// rankDemand is the latest demand of one rank.
type rankDemand struct {
	rank      int
	objective time.Duration
	at        clock.Instant
}

// Demand holds the ranks of the recent requests of each service; the zero value is empty. In overload a request may only wait as long
// as leaves the requests of more urgent ranks in time, so that a service whose less urgent requests have patient clients is not filled
// by these.
type Demand struct {
	mu       sync.Mutex
	services map[settings.ServiceName][]rankDemand
}

// Record records a request with its rank and objective, 0 for none.
func (d *Demand) Record(now clock.Instant, name settings.ServiceName, rank int, objective time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.services[name]
	for i := range list {
		if list[i].rank == rank {
			if objective > 0 && (list[i].objective == 0 || objective <= list[i].objective || now.Sub(list[i].at) > demandTime) {
				list[i].objective = objective
			}
			list[i].at = now
			return
		}
	}
	if len(list) >= maxDemandRanks {
		return
	}
	if d.services == nil {
		d.services = make(map[settings.ServiceName][]rankDemand)
	}
	d.services[name] = append(list, rankDemand{rank: rank, objective: objective, at: now})
}

// QueueTime returns how long a request of the given rank may wait at an upstream: a share of the shortest objective of its rank and of
// the more urgent ones, divided by the number of these and itself. So the less urgent requests are the first that get no room.
func (d *Demand) QueueTime(now clock.Instant, name settings.ServiceName, rank int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	ranks, shortest := 0, time.Duration(0)
	for _, r := range d.services[name] {
		if r.rank > rank || now.Sub(r.at) > demandTime {
			continue
		}
		ranks++
		if r.objective > 0 && (shortest == 0 || r.objective < shortest) {
			shortest = r.objective
		}
	}
	return time.Duration(queueShare * float64(shortest) / float64(max(1, ranks)))
}
