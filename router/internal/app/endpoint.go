package app

import (
	"github.com/charmbracelet/log"
	"github.com/google/uuid"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/memorybudget"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// newEndpoint returns the endpoint of the links to other processes, and the new incarnation that it announces.
func newEndpoint(cfg settings.Router, store *revision.Store, h peer.Handler, l *log.Logger) (*peer.Endpoint, peer.Incarnation, error) {
	allow, err := peer.ParseNetworks(cfg.Allow)
	if err != nil {
		return nil, "", err
	}
	identity, err := peer.OptionalIdentity(cfg.PeerTLS)
	if err != nil {
		return nil, "", err
	}
	incarnation := peer.Incarnation(uuid.NewString())
	return &peer.Endpoint{
		LocalHello: func() peer.Hello { return newHello(cfg, store, incarnation) },
		Handler:    h,
		Allow:      allow,
		Identity:   identity,
		OnReject:   func(err error) { l.Warn("peer turned away", "error", err) },
		// Large messages from other processes have a budget of their own, which clients cannot use up.
		Memory:      &memorybudget.Budget{Limit: peerMemory},
		MaxAccepted: max(1, cfg.Descriptors/acceptedDivisor),
	}, incarnation, nil
}

const (
	// peerMemory, in bytes, has room for one message of the largest size, compressed and decompressed, beside smaller ones.
	peerMemory = 32 << 20
	// acceptedDivisor is the part of the descriptors that accepted links take.
	acceptedDivisor = 10
)

// newHello returns the first message on a link.
func newHello(cfg settings.Router, store *revision.Store, incarnation peer.Incarnation) peer.Hello {
	v, _ := store.Current()
	return peer.Hello{
		Protocol:    peer.ProtocolVersion,
		Role:        peer.RoleRouter,
		ID:          cfg.ID,
		DataCentre:  cfg.DataCentre,
		Incarnation: incarnation,
		Revision:    v.Revision,
		Sent:        clock.Boot{}.Now(),
	}
}
