// Package requestbody reads the bodies of clients' requests within the limits on their size, their time and their memory.
package requestbody
