package bench

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// stub is a side without an upstream: it answers at once, so that another process can be measured beside many.
type stub struct {
	id       settings.UpstreamID
	address  string
	endpoint *peer.Endpoint
}

// Serve answers a message as a side without load would.
func (s *stub) Serve(ctx context.Context, st *peer.Stream, m peer.Message) {
	switch v := m.(type) {
	case *peer.Submit:
		_ = st.Send(ctx, &peer.Accept{})
		_ = st.Send(ctx, &peer.Head{Status: 200, Headers: []peer.Header{{Name: "Content-Type", Value: "application/json"}}})
		_ = st.Send(ctx, &peer.Chunk{Attempt: v.Attempt, Seq: 1, Data: []byte("{}")})
		_ = st.Send(ctx, &peer.End{Attempt: v.Attempt, Outcome: peer.OutcomeDone, Chunks: 1})
	case *peer.LoadExchange:
		_ = st.Send(ctx, &peer.LoadExchange{Side: s.id, Service: v.Service, Load: v.Load, Mean: v.Mean, MeanKnown: true})
	case *peer.Announce:
		_ = st.Send(ctx, &peer.Announce{Version: v.Version})
	}
}

// stubs is a set of stubs that listen on loopback.
type stubs struct {
	list   []*stub
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// startStubs starts n stubs.
func startStubs(n int) (*stubs, error) {
	ctx, cancel := context.WithCancel(context.Background())
	all := &stubs{cancel: cancel}
	allow, err := peer.ParseNetworks(settings.DefaultAllow)
	if err != nil {
		cancel()
		return nil, err
	}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			all.stop()
			return nil, errors.Wrap(err, "listening for a stub")
		}
		s := &stub{id: settings.UpstreamID(fmt.Sprintf("stub-%04d", i)), address: ln.Addr().String()}
		hello := peer.Hello{Protocol: peer.ProtocolVersion, Role: peer.RoleSide, ID: string(s.id), Incarnation: "stub"}
		s.endpoint = &peer.Endpoint{Handler: s, Allow: allow, LocalHello: func() peer.Hello {
			h := hello
			h.Sent = clock.Boot{}.Now()
			return h
		}}
		all.list = append(all.list, s)
		all.done.Add(1)
		go func() {
			defer all.done.Done()
			_ = s.endpoint.Listen(ctx, ln)
		}()
	}
	return all, nil
}

func (a *stubs) stop() {
	a.cancel()
	for _, s := range a.list {
		s.endpoint.Close()
	}
	a.done.Wait()
}

// declare adds the stubs to a set of declarations.
func (a *stubs) declare(f *settings.Declarations, service settings.ServiceName) {
	for _, s := range a.list {
		f.Upstreams[s.id] = settings.Upstream{Service: service, DataCentre: "kano", Side: s.address}
	}
}
