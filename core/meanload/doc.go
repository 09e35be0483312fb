// Package meanload estimates the mean load of a service's sides by pairwise gossip averaging, without a table of all sides.
package meanload
