// Package members keeps the upstream instances that the platform's directory lists, each identified by its id and
// incarnation.
package members
