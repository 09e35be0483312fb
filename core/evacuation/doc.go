// Package evacuation keeps the data centres that the operators have evacuated, so that their upstreams get no new requests. It answers
// data centres that are emptied before planned work and taken back after it.
package evacuation
