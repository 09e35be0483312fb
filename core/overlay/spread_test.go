package overlay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hop is how long a message takes, with what its receiver does.
const hop = 30 * time.Millisecond

// event is something that happens in a simulated fleet.
type event struct {
	at time.Duration
	do func(now time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// detectTime is when it is known who is lost, for a version that comes shortly after the loss.
const detectTime = time.Second

// spreadFleet is a fleet in which a version spreads. A part of the nodes is lost, which no one knows at first.
type spreadFleet struct {
	nodes   []string
	index   map[string]int
	lost    []bool
	peers   [][]string
	inbound [][]int
	has     []bool
	told    int
	latest  time.Duration
	queue   events
}

func newSpreadFleet(n int, lostShare float64) *spreadFleet {
	f := &spreadFleet{index: make(map[string]int), lost: make([]bool, n), has: make([]bool, n), inbound: make([][]int, n)}
	for i := range n {
		f.nodes = append(f.nodes, fmt.Sprint(i))
		f.index[f.nodes[i]] = i
	}
	for _, i := range rand.Perm(n)[:int(lostShare*float64(n))] {
		f.lost[i] = true
	}
	for i := range n {
		peers := (&PeerSet{}).Choose(f.others(0, i))
		f.peers = append(f.peers, peers)
		for _, p := range peers {
			if j := f.index[p]; len(f.inbound[j]) < 8 {
				f.inbound[j] = append(f.inbound[j], i)
			}
		}
	}
	return f
}

// others returns the candidates of a node: all others, or those that run once that is known.
func (f *spreadFleet) others(now time.Duration, i int) []string {
	var list []string
	for j, address := range f.nodes {
		if j != i && (now < detectTime || !f.lost[j]) {
			list = append(list, address)
		}
	}
	return list
}

func (f *spreadFleet) after(at time.Duration, do func(now time.Duration)) {
	heap.Push(&f.queue, event{at: at, do: do})
}

// get gives a node the version.
func (f *spreadFleet) get(now time.Duration, i int) {
	if f.lost[i] || f.has[i] {
		return
	}
	f.has[i], f.latest = true, now
	for _, j := range f.inbound[i] {
		f.told++
		f.after(now+hop, func(now time.Duration) { f.get(now, j) })
	}
	s := &Spread{}
	f.wave(now, i, s, s.Begin(&PeerSet{chosen: f.peers[i]}, f.others(now, i)))
}

// wave tells the processes of a wave, and then those of the next one.
func (f *spreadFleet) wave(now time.Duration, i int, s *Spread, targets []string) {
	if len(targets) == 0 {
		if s.rounds < maxRounds {
			f.after(now+RoundPause, func(now time.Duration) {
				if targets := s.Round(f.others(now, i)); len(targets) > 0 {
					f.wave(now, i, s, targets)
				}
			})
		}
		return
	}
	ends := now + 2*hop
	for _, address := range targets {
		f.told++
		j := f.index[address]
		if f.lost[j] {
			ends = now + WaveTime
			continue
		}
		f.after(now+hop, func(now time.Duration) { f.get(now, j) })
		f.after(now+2*hop, func(time.Duration) { s.Answered() })
	}
	f.after(ends+1, func(now time.Duration) { f.wave(now, i, s, s.Wave(f.others(now, i))) })
}

// run spreads a version from one node and returns how many of the others have not got it.
func (f *spreadFleet) run() (missed int) {
	for i := range f.nodes {
		if !f.lost[i] {
			f.get(0, i)
			break
		}
	}
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(event)
		e.do(e.at)
	}
	for i := range f.nodes {
		if !f.lost[i] && !f.has[i] {
			missed++
		}
	}
	return missed
}

// TestVersionMissesNodesWhateverPartIsLost guards against nodes that keep an old version since those that would have told them are lost.
func TestVersionMissesNodesWhateverPartIsLost(t *testing.T) {
	for _, n := range []int{16, 100, 400} {
		for _, lost := range []float64{0, 0.5, 0.7, 0.9} {
			t.Run(fmt.Sprintf("%d nodes, %.0f%% lost", n, 100*lost), func(t *testing.T) {
				c := qt.New(t)
				latest, most, missed := time.Duration(0), 0.0, 0
				for range 50 {
					f := newSpreadFleet(n, lost)
					missed += f.run()
					latest, most = max(latest, f.latest), max(most, float64(f.told)/(float64(n)*(1-lost)))
				}
				t.Logf("in force after %v, %.1f messages a node that runs", latest, most)
				c.Check(missed, qt.Equals, 0)
				c.Check(latest <= 2*time.Second, qt.IsTrue)
				if lost == 0 {
					c.Check(most <= 12, qt.IsTrue, qt.Commentf("%.1f messages a node", most))
				}
			})
		}
	}
}
