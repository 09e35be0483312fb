// Package jsonstream reads JSON that another process sends value by value, so that what is held at a time has a bound.
package jsonstream
