// Package meanload estimates the mean load of a service's sides by pairwise exchanges, with no table of sides.
package meanload
