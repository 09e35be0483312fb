// Package sides speaks to the other sides of the same service: loads, the mean, and the records of keys.
package sides
