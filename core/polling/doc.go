// Package polling decides which routers read the platform's directory themselves; the others learn of changes from them.
package polling
