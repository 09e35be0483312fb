// Package candidates determines the order in which a router tries the sides for a request.
package candidates
