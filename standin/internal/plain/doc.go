// Package plain is a small stand-in for a plain service with calls that may not be repeated.
package plain
