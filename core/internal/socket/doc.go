// Package socket looks at what has arrived on connections.
package socket
