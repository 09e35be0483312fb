// Package kernel starts the named services of a process in order, finds them by name and stops them in reverse order.
package kernel
