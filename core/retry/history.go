package retry

import "math"

// keptSteps is the number of steps that matter to a retry: those of the window that ends now and of the window before it.
const keptSteps = 2*stepsPerWindow + 1

// step counts the requests and retries of one step.
type step struct {
	number            int64
	requests, retries int
}

// counter holds the latest steps of one service.
type counter struct {
	steps [keptSteps]step
}

// at returns the place of a step. Shortly after the machine's boot the oldest steps have negative numbers.
func (c *counter) at(number int64) *step {
	return &c.steps[(number%keptSteps+keptSteps)%keptSteps]
}

// step returns the present step.
func (c *counter) step(number int64) *step {
	s := c.at(number)
	if s.number != number {
		*s = step{number: number}
	}
	return s
}

// sums holds the totals up to each kept step, the oldest first.
type sums [keptSteps + 1]int

// between returns the total from the first to the last of two steps, which are counted from the present one, 0.
func (s *sums) between(first, last int) int {
	clamp := func(i int) int { return min(max(0, i), keptSteps) }
	return s[clamp(last+keptSteps)] - s[clamp(first+keptSteps-1)]
}

// history is what a counter holds at a given time.
type history struct {
	requests, retries sums
}

func (c *counter) history(present int64) *history {
	h := &history{}
	oldest := present - keptSteps + 1
	for i := range keptSteps {
		number := oldest + int64(i)
		s := c.at(number)
		h.requests[i+1], h.retries[i+1] = h.requests[i], h.retries[i]
		if s.number == number {
			h.requests[i+1] += s.requests
			h.retries[i+1] += s.retries
		}
	}
	return h
}

// current returns the requests and retries of the window that ends now.
func (h *history) current() (requests, retries int) {
	return h.requests.between(-stepsPerWindow, 0), h.retries.between(-stepsPerWindow, 0)
}

// left returns how many more retries are allowed by all windows that a retry made now will be part of, at a ratio of retries to
// requests. These windows end now or up to a window later. A step that a window contains in part counts for its retries, but not for
// its requests.
func (h *history) left(ratio float64) float64 {
	left := math.Inf(1)
	for end := range stepsPerWindow + 1 {
		first := end - stepsPerWindow
		credit := currentShare*float64(h.requests.between(first+1, 0)) +
			min(currentShare, 1-currentShare)*float64(h.requests.between(first, first)) +
			(1-currentShare)*float64(h.requests.between(first-stepsPerWindow+1, first-1))
		left = min(left, ratio*credit-float64(h.retries.between(first, 0)))
	}
	return left
}
