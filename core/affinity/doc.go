// Package affinity records which upstreams have which prompt blocks in their caches.
package affinity
