// Package bench measures running processes: the cost of routing a request, placement under load and capacity.
package bench
