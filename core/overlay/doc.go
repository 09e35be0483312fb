// Package overlay keeps a small changing set of neighbours out of many candidates.
package overlay
