// Package outlier detects upstreams that fail more often than the rest of their service and ejects them for a time.
package outlier
