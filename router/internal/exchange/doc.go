// Package exchange carries the state of routers over a tree: each section of it as the changes since those that the other end has
// acknowledged, and completely for a router that joins or has lost its place.
package exchange
