// Package fairshare divides the room of an overloaded service among the teams that compete for it.
package fairshare
