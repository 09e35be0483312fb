// Package shutdown decides which requests a stopping process still begins.
package shutdown
