// Package call holds what a router knows of a client's request, of an attempt at an upstream, and of its answer, apart
// from the protocol that carries them.
package call
