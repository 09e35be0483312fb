package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/peer"
)

// Times of the exchange.
const (
	// tick is how often the service looks for exchanges that are due, idleTick while there are none to begin.
	tick     = 40 * time.Millisecond
	idleTick = 200 * time.Millisecond
	// interval is the time between two exchanges with one router. Urgent changes do not wait for it.
	interval = 240 * time.Millisecond
	// urgentInterval is the time between two exchanges while there are urgent changes.
	urgentInterval = 80 * time.Millisecond
	// requestTimeout bounds an exchange.
	requestTimeout = 500 * time.Millisecond
	// lostTime is how long after its last exchange a router counts as lost whose link has ended.
	lostTime = 2 * interval
	// maxTimeouts is the number of exchanges in a row without a reply after which a router counts as lost. A router that has little CPU may
	// miss one while many start; a closed connection counts at once.
	maxTimeouts = 2
	// settleTime is how long the states of two routers that have just met may differ before they are sent completely.
	settleTime = time.Second
	// keepTime is how long the place of a router without exchanges is kept.
	keepTime = 5 * time.Second
)

// Partner is a router with which this one begins exchanges.
type Partner struct {
	Address string
	// Joining reports that this router does not know the fleet yet and asks only for the routers, so that the few routers that are known
	// at the start are not asked for everything by all.
	Joining bool
}

// Routers chooses the partners and learns from the exchanges which routers run.
type Routers interface {
	// Partners returns nothing in a small fleet, whose routers exchange their states directly.
	Partners() []Partner
	// Met is called after each exchange, Lost after one that failed.
	Met(address string, incarnation peer.Incarnation, link *peer.Link)
	Lost(address string)
}

// Dialer provides links to addresses.
type Dialer interface {
	Dial(ctx context.Context, address string) (*peer.Link, error)
}

// Clock returns the current instant.
type Clock interface {
	Now() clock.Instant
}

// Service exchanges sections with the neighbours in the tree.
type Service struct {
	ID          inflight.RouterID
	Address     string
	Incarnation peer.Incarnation
	Routers     Routers
	Dialer      Dialer
	Sections    []Section
	Clock       Clock
	Log         *log.Logger
	Scope       tally.Scope

	mu         sync.Mutex
	neighbours map[string]*neighbour
	wg         sync.WaitGroup
}

// String returns the service's name.
func (s *Service) String() string { return "exchange" }

// Run exchanges state until ctx ends.
func (s *Service) Run(ctx context.Context, ready func()) error {
	ready()
	defer s.wg.Wait()
	for {
		pause := idleTick
		if s.startDue(ctx) {
			pause = tick
		}
		if !clock.Sleep(ctx, pause) {
			return nil
		}
	}
}

// startDue begins the exchanges that are due: with the partners at each interval, and with these and the routers that have begun
// exchanges here as soon as there is something urgent. It reports whether there are any.
func (s *Service) startDue(ctx context.Context) bool {
	partners := s.Routers.Partners()
	now := s.Clock.Now()
	urgent := s.urgent()
	s.mu.Lock()
	defer s.mu.Unlock()
	isPartner := make(map[string]bool, len(partners))
	for _, p := range partners {
		isPartner[p.Address] = true
		n := s.neighbour(p.Address)
		if n.exchanging || !n.due(now, urgent, p.Joining) {
			continue
		}
		s.begin(ctx, now, p, n, nil)
	}
	for address, n := range s.neighbours {
		if n.exchanging || isPartner[address] {
			continue
		}
		switch silent := now.Sub(n.lastExchange); {
		case n.began && n.link.Ended() && silent > lostTime:
			// A router that has only chosen another partner keeps its link until that is idle.
			delete(s.neighbours, address)
			defer s.Routers.Lost(address)
			continue
		case silent > keepTime:
			delete(s.neighbours, address)
			continue
		}
		if n.began && n.urgent != urgent && n.due(now, urgent, false) && !n.link.Ended() && now.Sub(n.lastExchange) < 2*interval {
			s.begin(ctx, now, Partner{Address: address}, n, n.link)
		}
	}
	return len(s.neighbours) > 0
}

// urgent returns the sum of the sections' urgent versions.
func (s *Service) urgent() peer.StateVersion {
	var sum peer.StateVersion
	for _, section := range s.Sections {
		sum += section.Urgent()
	}
	return sum
}

// neighbour returns the state of the exchange with a router. The caller holds the lock.
func (s *Service) neighbour(address string) *neighbour {
	if s.neighbours == nil {
		s.neighbours = make(map[string]*neighbour)
	}
	n := s.neighbours[address]
	if n == nil {
		n = &neighbour{lastExchange: s.Clock.Now()}
		s.neighbours[address] = n
	}
	return n
}

// begin starts an exchange in its own goroutine. The caller holds the lock.
func (s *Service) begin(ctx context.Context, now clock.Instant, p Partner, n *neighbour, link *peer.Link) {
	n.exchanging, n.lastStart = true, now
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		s.exchange(ctx, p, n, link)
	}()
}

// exchange sends changes to a router and applies those in its reply.
func (s *Service) exchange(ctx context.Context, p Partner, n *neighbour, link *peer.Link) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reply, link, err := s.request(ctx, p, n, link)
	timedOut := errors.Is(err, context.DeadlineExceeded)
	s.mu.Lock()
	n.exchanging, n.lastExchange = false, s.Clock.Now()
	if timedOut {
		n.timeouts++
	} else {
		n.timeouts = 0
	}
	lost := !timedOut || n.timeouts >= maxTimeouts
	s.mu.Unlock()
	if err != nil {
		if errors.Is(err, context.Canceled) {
			return
		}
		s.Scope.Counter("state_exchange_failures").Inc(1)
		s.Log.Debug("cannot exchange state", "router", p.Address, "error", err)
		if lost {
			s.Routers.Lost(p.Address)
		}
		return
	}
	s.apply(p.Address, n, reply)
	s.Routers.Met(p.Address, reply.Incarnation, link)
}

func (s *Service) request(ctx context.Context, p Partner, n *neighbour, link *peer.Link) (*peer.StateExchange, *peer.Link, error) {
	if link == nil {
		var err error
		if link, err = s.Dialer.Dial(ctx, p.Address); err != nil {
			return nil, nil, err
		}
	}
	if link.Version() < peer.StateExchangeVersion {
		return nil, nil, &peer.VersionError{Offered: peer.StateExchangeVersion, Remote: link.Version()}
	}
	sections := s.Sections
	if p.Joining {
		sections = sections[:1]
	}
	message := s.message(p.Address, n, sections)
	reply, err := peer.Request[*peer.StateExchange](ctx, link, message, requestTimeout)
	if err != nil {
		// The path may be broken although the link is still open, so the next exchange opens a new link.
		link.Close(err)
	}
	return reply, link, err
}

// message returns what a neighbour lacks of the sections.
func (s *Service) message(address string, n *neighbour, sections []Section) *peer.StateExchange {
	now := s.Clock.Now()
	urgent := s.urgent()
	s.mu.Lock()
	n.urgent = urgent
	m := &peer.StateExchange{Router: s.ID, Address: s.Address, Incarnation: s.Incarnation, Receiver: n.incarnation}
	s.mu.Unlock()
	for _, section := range sections {
		digest := section.Digest()
		s.mu.Lock()
		p := n.place(section.ID())
		settled := p.settled(now, digest) || !section.Bulky()
		at := *p
		s.mu.Unlock()
		part := encode(now, section, at, digest, settled, address)
		m.Sections = append(m.Sections, part)
		if len(part.Data) > 0 {
			s.count(section, "out", part)
		}
	}
	return m
}

// encode returns what a neighbour at the given place lacks of a section.
func encode(now clock.Instant, section Section, at place, digest uint64, settled bool, receiver string) peer.StateSection {
	part := peer.StateSection{ID: section.ID(), Ack: at.applied, Digest: digest}
	if !at.known {
		return part
	}
	if at.acked > 0 {
		if changes, ok := section.Since(now, at.acked, receiver); ok {
			part.To, part.Data = changes.To, changes.Data
			return part
		}
	}
	if at.digest == part.Digest {
		if changes, ok := section.Since(now, section.Resume(now), receiver); ok {
			part.To, part.Data = changes.To, changes.Data
			return part
		}
	}
	if !settled {
		// The latest changes do not wait. They leave the receiver's place as it is.
		if changes, ok := section.Since(now, section.Resume(now), receiver); ok {
			part.Data = changes.Data
		}
		return part
	}
	changes := section.Full(now, at.digest)
	part.To, part.Data, part.Full = changes.To, changes.Data, len(changes.Data) > 0
	return part
}

func (s *Service) count(section Section, direction string, part peer.StateSection) {
	full := "no"
	if part.Full {
		full = "yes"
	}
	tags := map[string]string{"section": section.Name(), "direction": direction, "full": full}
	s.Scope.Tagged(tags).Counter("state_exchange_bytes").Inc(int64(len(part.Data)))
}

// apply applies a message of a neighbour.
func (s *Service) apply(address string, n *neighbour, m *peer.StateExchange) {
	now := s.Clock.Now()
	s.mu.Lock()
	n.meet(m.Incarnation)
	s.mu.Unlock()
	for _, part := range m.Sections {
		section := s.section(part.ID)
		if section == nil {
			// A newer program has more sections.
			continue
		}
		applied := true
		if len(part.Data) > 0 {
			s.count(section, "in", part)
			if err := section.Apply(now, address, part); err != nil {
				applied = false
				s.Log.Warn("cannot decode the state of a router", "router", m.Router, "section", section.Name(), "error", err)
			}
		}
		s.mu.Lock()
		p := n.place(part.ID)
		p.known, p.digest = true, part.Digest
		if applied {
			p.applied = max(p.applied, part.To)
		}
		if m.Receiver == s.Incarnation && part.Ack <= section.Version() {
			p.acked = max(p.acked, part.Ack)
		}
		s.mu.Unlock()
	}
}

// section returns the section with a number, or nil.
func (s *Service) section(id peer.SectionID) Section {
	for _, section := range s.Sections {
		if section.ID() == id {
			return section
		}
	}
	return nil
}

// Serve applies the state of another router and replies with what that lacks; it returns false for messages of other services.
func (s *Service) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	message, ok := m.(*peer.StateExchange)
	if !ok {
		return false
	}
	s.mu.Lock()
	n := s.neighbour(message.Address)
	n.lastExchange, n.began, n.link = s.Clock.Now(), true, st.Link()
	s.mu.Unlock()
	s.apply(message.Address, n, message)
	s.Routers.Met(message.Address, message.Incarnation, st.Link())
	var sections []Section
	for _, part := range message.Sections {
		if section := s.section(part.ID); section != nil {
			sections = append(sections, section)
		}
	}
	if err := st.Send(ctx, s.message(message.Address, n, sections)); err != nil {
		s.Log.Debug("cannot send the state to a router", "router", message.Router, "error", err)
	}
	return true
}

// Status is the state of the exchange with one router in a dump.
type Status struct {
	Address string `json:"address"`
	Partner bool   `json:"partner"`
	// SinceExchangeMS is the time since the last exchange.
	SinceExchangeMS int64 `json:"since_exchange_ms"`
}

// Dump returns the neighbours.
func (s *Service) Dump() any {
	partners := s.Routers.Partners()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	list := make([]Status, 0, len(s.neighbours))
	for address, n := range s.neighbours {
		status := Status{Address: address, SinceExchangeMS: now.Sub(n.lastExchange).Milliseconds()}
		for _, p := range partners {
			status.Partner = status.Partner || p.Address == address
		}
		list = append(list, status)
	}
	return list
}
