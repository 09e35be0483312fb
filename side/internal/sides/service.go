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

// Times of the exchanges.
const (
	askLimit      = 500 * time.Millisecond
	claimInterval = 500 * time.Millisecond
	reshuffle     = 2 * time.Second
	// neighbours is the number of other sides that one side exchanges with at a time; all are met in turn.
	neighbours = 16
)

// Admission is what the exchanges tell and ask.
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

// Dialer gives links to addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
}

// Service exchanges loads with other sides in rounds and claims the records of keys that have moved here.
type Service struct {
	Admission Admission
	Dialer    Dialer
	Prefixes  *PrefixTransfer

	others overlay.PeerSet
}

// String returns the service's name.
func (s *Service) String() string { return "sides" }

// Run exchanges until ctx ends.
func (s *Service) Run(ctx context.Context, ready func()) error {
	s.others.Size = neighbours
	ready()
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Add(1)
	go func() {
		defer wg.Done()
		every(ctx, claimInterval, func() { s.claim(ctx) })
	}()
	wg.Add(1)
	go func() {
		defer wg.Done()
		s.shedWhenWanted(ctx)
	}()
	shuffled := time.Now()
	every(ctx, meanload.ExchangeInterval, func() {
		if time.Since(shuffled) > reshuffle {
			s.others.Rotate()
			shuffled = time.Now()
		}
		s.exchange(ctx)
		s.shed(ctx)
	})
	return nil
}

// shedWhenWanted moves work away as soon as the load has grown too much.
func (s *Service) shedWhenWanted(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.Admission.MoveWanted():
			s.shed(ctx)
		}
	}
}

// maxShedSteps bounds the moves of one look at the load.
const maxShedSteps = 5

// shed moves requests away while there is too much here. Each target is asked for its load first, so that no move
// rests on an old report.
func (s *Service) shed(ctx context.Context) {
	for range maxShedSteps {
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

// exchange swaps samples with one neighbour.
func (s *Service) exchange(ctx context.Context) {
	_, addresses := s.Admission.Siblings()
	address, ok := s.others.Pick(addresses)
	if !ok {
		return
	}
	if err := s.exchangeWith(ctx, address); err != nil {
		s.others.Drop(address)
	}
}

// exchangeWith swaps samples with the side at an address.
func (s *Service) exchangeWith(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	l, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return err
	}
	name, _ := s.Admission.Siblings()
	answer, err := peer.Ask[*peer.LoadExchange](ctx, l, message(name, s.Admission.ExchangeSample(nil)), askLimit)
	if err != nil {
		return err
	}
	s.Admission.MergeSample(sample(answer))
	return nil
}

// Serve answers another side's message; it reports false for messages of other services.
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

// leaving takes another side's word that it leaves, or a router's word that this VM is listed as leaving.
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
	theirs := sample(v)
	mine := s.Admission.ExchangeSample(&theirs)
	_ = st.Send(ctx, message(name, mine))
}

func message(name settings.ServiceName, s meanload.Sample) *peer.LoadExchange {
	return &peer.LoadExchange{Side: s.Side, Service: name, Load: float32(s.Load), Mean: float32(s.Mean), MeanKnown: s.Known}
}

func sample(e *peer.LoadExchange) meanload.Sample {
	return meanload.Sample{Side: e.Side, Load: settings.Tokens(e.Load), Mean: settings.Tokens(e.Mean), Known: e.MeanKnown}
}

// claim asks every side whose word is missing for the records that belong here now.
func (s *Service) claim(ctx context.Context) {
	for _, q := range s.Admission.PendingClaims() {
		s.claimFrom(ctx, q.Claim, q.Address)
	}
}

func (s *Service) claimFrom(ctx context.Context, question *peer.Claim, address string) {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	l, err := s.Dialer.Dial(ctx, address)
	if err != nil {
		return
	}
	st, err := l.Open(ctx, question)
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

// HandOver leaves this side's records with one other side. A second copy could outlive the first and mislead a
// later successor, so another side is tried only where nothing was sent.
func (s *Service) HandOver(ctx context.Context) {
	handover := s.Admission.Handover()
	if handover == nil {
		return
	}
	_, addresses := s.Admission.Siblings()
	for _, address := range addresses {
		l, err := s.Dialer.Dial(ctx, address)
		if err != nil {
			continue
		}
		// Without an answer the successor waits until the keys have outlived their lifetime.
		_, _ = peer.Ask[*peer.HandoverAck](ctx, l, handover, askLimit)
		return
	}
}
