// Package admission decides at a side whether to take a request, where to send it instead, and what to move away.
package admission
