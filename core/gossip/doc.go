// Package gossip distributes accepted versions of the declarations to all processes over links between peers.
package gossip
