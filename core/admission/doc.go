// Package admission decides whether a side admits a request, which sides to ask instead, and which work to move away.
package admission
