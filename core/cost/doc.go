// Package cost estimates how much output a request will make, from the output of earlier requests and from what its client states. It
// answers a load in which requests that look alike take very different amounts of an upstream's time.
package cost
