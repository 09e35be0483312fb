// Package relay decides which routers collect the counts of open requests, and from whom each router gets the sum.
package relay
