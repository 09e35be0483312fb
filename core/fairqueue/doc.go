// Package fairqueue orders the requests that wait at a side: by class, and within a class fairly between teams by work.
package fairqueue
