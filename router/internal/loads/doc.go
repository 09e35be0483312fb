// Package loads exchanges the counts of open requests through relays, in fleets in which the exchange of all routers' states is
// too slow for the load bound.
package loads
