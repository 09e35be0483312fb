// Command benchdecisions simulates a fleet of model engines on a virtual clock. It compares the routing, admission and
// fair queuing decisions of the system with baseline policies. Random numbers come from seeds, so a run can be repeated.
// It uses no network and starts no processes.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
)

// result is one line of output. Values are means over the seeds; ReuseWorst and SkewMax are the worst values of all seeds.
type result struct {
	Scenario   string  `json:"scenario"`
	Policy     string  `json:"policy"`
	Engines    int     `json:"engines"`
	Multiple   float64 `json:"multiple"`
	Seeds      int     `json:"seeds"`
	Reuse      float64 `json:"reuse"`
	ReuseWorst float64 `json:"reuse_worst"`
	SkewP50    float64 `json:"skew_p50"`
	SkewP99    float64 `json:"skew_p99"`
	SkewMax    float64 `json:"skew_max"`
	// WithinMultiple is the fraction of load samples whose largest load is within the multiple of the mean. It leaves out
	// samples with minInFlight or fewer requests per engine.
	WithinMultiple float64 `json:"held"`
	Refused        float64 `json:"refused"`
	TTFTOthers     float64 `json:"ttft_p99_ms_others"`
	TTFTSurging    float64 `json:"ttft_p99_ms_surging"`
	MovedBytes     float64 `json:"moved_bytes"`
	ControlRate    float64 `json:"control_bytes_per_second"` // per engine
	SideRequests   float64 `json:"asks_per_request"`
	InFlight       float64 `json:"mean_in_flight"`
}

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds")
	engines := flag.String("engines", "20,1015", "fleet sizes")
	scenarios := flag.String("scenarios", strings.Join(scenarioNames, ","), "scenarios")
	policies := flag.String("policies", strings.Join(policyNames, ","), "policies")
	multiples := flag.String("multiples", "1.25,1.5", "upper bounds of an engine's load, as multiples of the mean load")
	flag.Parse()
	fmt.Fprintf(os.Stderr, "seeds 1 to %d\n", *seeds)
	fmt.Fprintf(os.Stderr, "%-18s %-14s %7s %5s %6s %6s %6s %6s %6s %6s %7s %8s %8s %6s %6s %6s\n",
		"scenario", "policy", "engines", "mult", "reuse", "worst", "p50", "p99", "max", "held", "refused", "ttft_oth", "ttft_sur", "moveGB", "asks", "flight")
	for _, n := range parseInts(*engines) {
		for _, multiple := range parseFloats(*multiples) {
			for _, scenario := range strings.Split(*scenarios, ",") {
				for _, policy := range strings.Split(*policies, ",") {
					report(config{engines: n, multiple: multiple, scenario: scenario, policy: policy}, *seeds)
				}
			}
		}
	}
}

// report runs a configuration with every seed and prints its result to stdout as JSON and to stderr as a table row.
func report(c config, seeds int) {
	stats := make([]stats, seeds)
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for i := range seeds {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			stats[i] = newSim(c, uint64(i+1)).run()
			<-slots
		}()
	}
	wg.Wait()
	r := summarize(c, stats)
	line, err := json.Marshal(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(string(line))
	fmt.Fprintf(os.Stderr, "%-18s %-14s %7d %5.2f %6.3f %6.3f %6.2f %6.2f %6.2f %6.4f %7.4f %8.0f %8.0f %6.1f %6.2f %6.1f\n",
		r.Scenario, r.Policy, r.Engines, r.Multiple, r.Reuse, r.ReuseWorst, r.SkewP50, r.SkewP99, r.SkewMax, r.WithinMultiple,
		r.Refused, r.TTFTOthers, r.TTFTSurging, r.MovedBytes/1e9, r.SideRequests, r.InFlight)
}

func summarize(c config, all []stats) result {
	r := result{Scenario: c.scenario, Policy: c.policy, Engines: c.engines, Multiple: c.multiple, Seeds: len(all), ReuseWorst: 1}
	n := float64(len(all))
	for _, s := range all {
		slices.Sort(s.skews)
		reuse := s.reusedTokens / s.returningTokens
		r.Reuse += reuse / n
		r.ReuseWorst = min(r.ReuseWorst, reuse)
		r.SkewP50 += quantile(s.skews, 0.5) / n
		r.SkewP99 += quantile(s.skews, 0.99) / n
		r.SkewMax = max(r.SkewMax, quantile(s.skews, 1))
		r.WithinMultiple += s.samplesWithinMultiple / max(1, float64(len(s.skews))) / n
		r.Refused += float64(s.refused) / float64(s.requests) / n
		r.TTFTOthers += p99(s.ttftOthers) / n
		r.TTFTSurging += p99(s.ttftSurging) / n
		r.MovedBytes += s.movedBytes / n
		r.ControlRate += s.controlRate / n
		r.SideRequests += float64(s.sideRequests) / float64(s.requests) / n
		r.InFlight += s.inFlightSum / max(1, float64(s.samples)) / n
	}
	return r
}

func p99(list []float64) float64 {
	slices.Sort(list)
	return quantile(list, 0.99) * 1000
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func parseInts(text string) []int {
	var list []int
	for _, number := range parseFloats(text) {
		list = append(list, int(number))
	}
	return list
}

func parseFloats(text string) []float64 {
	var list []float64
	for _, field := range strings.Split(text, ",") {
		var number float64
		if _, err := fmt.Sscan(field, &number); err != nil {
			fmt.Fprintln(os.Stderr, "invalid number", field)
			os.Exit(2)
		}
		list = append(list, number)
	}
	return list
}
