// Package revision decides which versions of the declarations a process accepts: only valid ones, and only newer ones.
package revision
