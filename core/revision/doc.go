// Package revision decides which version of the declarations a process accepts: only a valid one, and only a newer one.
package revision
