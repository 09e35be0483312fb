// Package kernel starts named services in order, lets them find each other by name, and stops them in reverse.
package kernel
