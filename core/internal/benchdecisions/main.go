// Command benchdecisions plays seeded arrivals to the choosing, admission and sharing code beside in-memory engines on
// a virtual clock, with baselines on the same arrivals. It has no network and no processes.
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

// result is one line of output: the mean over the seeds, and the worst seed where Worst is set.
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
	// Held is the share of samples within the multiple, the mean being over eight requests in flight.
	Held         float64 `json:"held"`
	Refused      float64 `json:"refused"`
	TTFTOthers   float64 `json:"ttft_p99_ms_others"`
	TTFTSurging  float64 `json:"ttft_p99_ms_surging"`
	MovedBytes   float64 `json:"moved_bytes"`
	ControlBytes float64 `json:"control_bytes_per_second"`
	Asks         float64 `json:"asks_per_request"`
	InFlight     float64 `json:"mean_in_flight"`
}

func main() {
	seeds := flag.Int("seeds", 5, "number of seeds")
	engines := flag.String("engines", "20,1015", "fleet sizes")
	scenarios := flag.String("scenarios", strings.Join(scenarioNames, ","), "scenarios")
	policies := flag.String("policies", strings.Join(policyNames, ","), "policies")
	multiples := flag.String("multiples", "1.25,1.5", "promised multiples")
	flag.Parse()
	fmt.Fprintf(os.Stderr, "seeds 1 to %d\n", *seeds)
	fmt.Fprintf(os.Stderr, "%-18s %-14s %7s %5s %6s %6s %6s %6s %6s %6s %7s %8s %8s %6s %6s %6s\n", "scenario", "policy", "engines",
		"mult", "reuse", "worst", "p50", "p99", "max", "held", "refused", "ttft_oth", "ttft_sur", "moveGB", "asks", "flight")
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

// report runs a configuration with every seed and prints its line.
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
	fmt.Fprintf(os.Stderr, "%-18s %-14s %7d %5.2f %6.3f %6.3f %6.2f %6.2f %6.2f %6.4f %7.4f %8.0f %8.0f %6.1f %6.2f %6.1f\n", r.Scenario, r.Policy, r.Engines,
		r.Multiple, r.Reuse, r.ReuseWorst, r.SkewP50, r.SkewP99, r.SkewMax, r.Held, r.Refused, r.TTFTOthers, r.TTFTSurging, r.MovedBytes/1e9, r.Asks, r.InFlight)
}

func summarize(c config, all []stats) result {
	r := result{Scenario: c.scenario, Policy: c.policy, Engines: c.engines, Multiple: c.multiple, Seeds: len(all), ReuseWorst: 1}
	n := float64(len(all))
	for _, s := range all {
		slices.Sort(s.skews)
		reuse := s.reused / s.returned
		r.Reuse += reuse / n
		r.ReuseWorst = min(r.ReuseWorst, reuse)
		r.SkewP50 += quantile(s.skews, 0.5) / n
		r.SkewP99 += quantile(s.skews, 0.99) / n
		r.SkewMax = max(r.SkewMax, quantile(s.skews, 1))
		r.Held += s.held / max(1, float64(len(s.skews))) / n
		r.Refused += float64(s.refused) / float64(s.requests) / n
		r.TTFTOthers += p99(s.others) / n
		r.TTFTSurging += p99(s.surging) / n
		r.MovedBytes += s.moved / n
		r.ControlBytes += s.control / n
		r.Asks += float64(s.asks) / float64(s.requests) / n
		r.InFlight += s.inFlight / max(1, float64(s.samples)) / n
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
	for _, f := range parseFloats(text) {
		list = append(list, int(f))
	}
	return list
}

func parseFloats(text string) []float64 {
	var list []float64
	for _, one := range strings.Split(text, ",") {
		var f float64
		if _, err := fmt.Sscan(one, &f); err != nil {
			fmt.Fprintln(os.Stderr, "bad number", one)
			os.Exit(2)
		}
		list = append(list, f)
	}
	return list
}
