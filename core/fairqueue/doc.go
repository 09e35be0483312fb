// Package fairqueue orders the requests that wait at a side: by priority class, and within a class by weighted fair queueing
// between teams.
package fairqueue
