// Package sides communicates with the other sides of the same service: it exchanges loads and the mean load, moves
// excess requests, transfers prefixes, and claims and hands over the records of keys.
package sides
