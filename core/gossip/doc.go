// Package gossip brings accepted versions of the declarations to every process over links between neighbours.
package gossip
