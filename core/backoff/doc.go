// Package backoff decides which upstreams get no requests because they have asked this router for a pause.
package backoff
