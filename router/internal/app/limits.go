package app

import (
	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/httplisten"
	"rattantrack.dev/core/settings"
)

// clientLimit returns the limit on the port for clients.
func clientLimit(port string, cfg settings.Router, l *log.Logger, scope tally.Scope) *httplisten.Limit {
	return &httplisten.Limit{
		Port: port, Connections: cfg.Limits.Connections, HeaderFields: cfg.Limits.HeaderFields, Log: l, Scope: scope,
	}
}
