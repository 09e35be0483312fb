// Package affinity remembers which upstreams have read which parts of prompts.
package affinity
