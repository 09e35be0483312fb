// Package call describes a client's request, an attempt at an upstream and its answer, independent of the header fields that
// carry them.
package call
