// Package connections decides which connection of a port is closed when clients have opened as many as the port may have.
package connections
