// Package admission decides whether a side admits a request, which sides to try instead, and which work to move away.
package admission
