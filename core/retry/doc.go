// Package retry limits the repeated attempts of one process to a share of its first attempts.
package retry
