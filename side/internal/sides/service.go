package sides

import (
	"context"
	"sync"
	"time"

	"rattantrack.dev/core/meanload"
	"rattantrack.dev/core/overlay"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/side/internal/router"
)

// Times and bounds of the exchanges.
const (
	exchangeTimeout = 500 * time.Millisecond
	claimInterval   = 500 * time.Millisecond
	rotateInterval  = 2 * time.Second
	// peerCount is the number of other sides in the peer set, which changes over time.
	peerCount = 16
)

// Admission is the part of the side's router.Server that the exchanges use.
type Admission interface {
	ExchangeSample(other *meanload.Sample) meanload.Sample
	MergeSample(other meanload.Sample)
	MoveWanted() <-chan struct{}
	MoveTarget() (settings.UpstreamID, string, bool)
	MoveRequest(to settings.UpstreamID) bool
	Siblings() (settings.ServiceName, []string)
	Forget(side settings.UpstreamID)
	ListedLeaving()
	PendingClaims() []router.PendingClaim
	ApplyHandover(h *peer.Handover)
	AnswerClaim(c *peer.Claim) []*peer.Handover
	KeepHandover(h *peer.Handover)
	Handover() *peer.Handover
}

// Dialer returns links to addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
}

// Service periodically exchanges loads with other sides, moves excess requests to them, and claims the records of keys
// that have moved to this side.
type Service struct {
	Admission Admission
	Dialer    Dialer
	Prefixes  *PrefixTransfer

	peers overlay.PeerSet
}

// String returns the service's name.
func (s *Service) String() string { return "sides" }

// Run exchanges loads, moves requests and claims records until ctx ends.
func (s *Service) Run(ctx context.Context, ready func()) error {
	s.peers.Size = peerCount
	ready()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		every(ctx, claimInterval, func() { s.sendClaims(ctx) })
	}()
	wg.Add(1)
	go func() {
		defer wg.Done()
		s.moveOnDemand(ctx)
	}()
	rotated := time.Now()
	every(ctx, meanload.ExchangeInterval, func() {
		if time.Since(rotated) > rotateInterval {
			s.peers.Rotate()
			rotated = time.Now()
		}
		s.exchangeRandom(ctx)
		s.moveExcess(ctx)
	})
	return nil
}

// moveOnDemand moves requests away as soon as the load has grown too far, without waiting for the next exchange.
func (s *Service) moveOnDemand(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Admission.MoveWanted():
			s.moveExcess(ctx)
		}
	}
}

// maxMovesPerCheck bounds the moves after one check of the load.
const maxMovesPerCheck = 5

// moveExcess moves requests away while there is excess load. It exchanges samples with each target first, so that no
// move relies on an old load report.
func (s *Service) moveExcess(ctx context.Context) {
	for range maxMovesPerCheck {
		to, address, ok := s.Admission.MoveTarget()
		if !ok {
			return
		}
		if err := s.exchangeWith(ctx, address); err != nil {
			s.Admission.Forget(to)
			continue
		}
		s.Admission.MoveRequest(to)
	}
}

func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}

// exchangeRandom exchanges samples with a random peer.
func (s *Service) exchangeRandom(ctx context.Context) {
	_, addresses := s.Admission.Siblings()
	address, ok := s.peers.Pick(addresses)
	if !ok {
		return
	}
	if err := s.exchangeWith(ctx, address); err != nil {
		s.peers.Drop(address)
	}
}

// exchangeWith exchanges samples with the side at an address.
func (s *Service) exchangeWith(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	link, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return err
	}
	name, _ := s.Admission.Siblings()
	answer, err := peer.Request[*peer.LoadExchange](ctx, link, toMessage(name, s.Admission.ExchangeSample(nil)), exchangeTimeout)
	if err != nil {
		return err
	}
	s.Admission.MergeSample(fromMessage(answer))
	return nil
}

// Serve handles a message from another side or a router; it returns false for messages of other services.
func (s *Service) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	switch v := m.(type) {
	case *peer.LoadExchange:
		s.answerExchange(ctx, st, v)
	case *peer.Claim:
		for _, h := range s.Admission.AnswerClaim(v) {
			_ = st.Send(ctx, h)
		}
		_ = st.Send(ctx, &peer.Reset{Reason: "no more records"})
	case *peer.Handover:
		s.Admission.KeepHandover(v)
		_ = st.Send(ctx, &peer.HandoverAck{})
	case *peer.FetchPrefix:
		s.Prefixes.Serve(ctx, st, v)
	case *peer.Leaving:
		s.leaving(st.Link().Remote())
	default:
		return false
	}
	return true
}

// leaving handles another side's notice that it is leaving, or a router's notice that this VM is listed as leaving.
func (s *Service) leaving(from peer.Hello) {
	if from.Role == peer.RoleRouter {
		s.Admission.ListedLeaving()
		return
	}
	s.Admission.Forget(settings.UpstreamID(from.ID))
}

func (s *Service) answerExchange(ctx context.Context, st *peer.Stream, v *peer.LoadExchange) {
	name, _ := s.Admission.Siblings()
	if v.Service != name {
		_ = st.Send(ctx, &peer.Reset{Reason: "other service"})
		return
	}
	theirs := fromMessage(v)
	mine := s.Admission.ExchangeSample(&theirs)
	_ = st.Send(ctx, toMessage(name, mine))
}

func toMessage(name settings.ServiceName, s meanload.Sample) *peer.LoadExchange {
	return &peer.LoadExchange{Side: s.Side, Service: name, Load: float32(s.Load), Mean: float32(s.Mean), MeanKnown: s.MeanKnown}
}

func fromMessage(e *peer.LoadExchange) meanload.Sample {
	return meanload.Sample{Side: e.Side, Load: settings.Tokens(e.Load), Mean: settings.Tokens(e.Mean), MeanKnown: e.MeanKnown}
}

// sendClaims sends every pending claim.
func (s *Service) sendClaims(ctx context.Context) {
	for _, pending := range s.Admission.PendingClaims() {
		s.sendClaim(ctx, pending.Claim, pending.Address)
	}
}

func (s *Service) sendClaim(ctx context.Context, claim *peer.Claim, address string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	link, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return
	}
	st, err := link.Open(ctx, claim)
	if err != nil {
		return
	}
	defer st.Close()
	for {
		m, err := st.Receive(ctx)
		if err != nil {
			return
		}
		h, ok := m.(*peer.Handover)
		if !ok {
			return
		}
		s.Admission.ApplyHandover(h)
	}
}

// HandOver sends this side's records to one other side. A second copy could outlive the first and give stale records
// to a later successor, so another side is tried only if nothing was sent.
func (s *Service) HandOver(ctx context.Context) {
	handover := s.Admission.Handover()
	if handover == nil {
		return
	}
	_, addresses := s.Admission.Siblings()
	for _, address := range addresses {
		link, err := s.Dialer.Dial(ctx, address)
		if err != nil {
			continue
		}
		// If the records do not arrive, the successor confirms no key until a key's lifetime has passed.
		_, _ = peer.Request[*peer.HandoverAck](ctx, link, handover, exchangeTimeout)
		return
	}
}
