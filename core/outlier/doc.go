// Package outlier finds the upstreams that fail more often than their service and keeps requests from them for a time.
package outlier
