// Package origins tells routers that hold them with which version each stream began, and asks them when a client takes a stream up again
// at a router that has not seen it begin.
package origins
