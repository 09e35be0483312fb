// Package placement chooses the upstream for a request by the load of the candidates and the prompts that they cache.
package placement
