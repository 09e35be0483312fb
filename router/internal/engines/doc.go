// Package engines warms up the cache index after a restart: it queries the engines for the prompt blocks that they cache.
package engines
