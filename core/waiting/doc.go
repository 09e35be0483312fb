// Package waiting decides whether a request waits for an upstream with room or is refused, and when a refused client
// should come back.
package waiting
