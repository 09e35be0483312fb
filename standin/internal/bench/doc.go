// Package bench measures running processes: the cost of the path, and the decisions under load.
package bench
