// Package waiting queues requests while no upstream has room. It refuses those that could not start in time and computes
// when their clients should retry.
package waiting
