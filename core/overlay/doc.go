// Package overlay keeps a small, slowly changing set of peers chosen from many candidates.
package overlay
