// Package settings defines all settings of the system as plain structs: the declarations that operators publish for all
// processes, and the settings file of each process. Callers use the API under /v1, and their calls go
// through sides. Clients are routed by host and path to upstreams without a side.
package settings
