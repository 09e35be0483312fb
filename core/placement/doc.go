// Package placement chooses the upstream of a request from the load and the cached prompts of the candidates.
package placement
