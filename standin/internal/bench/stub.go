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

// stub simulates a side that responds at once without an upstream. Stubs let a router or a side be measured in a service
// with many sides.
type stub struct {
	id       settings.UpstreamID
	address  string
	endpoint *peer.Endpoint
}

// Serve responds to a message as an idle side does.
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

// stubSet is a set of running stubs.
type stubSet struct {
	list   []*stub
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// startStubs starts n stubs on loopback addresses.
func startStubs(n int) (*stubSet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	stubs := &stubSet{cancel: cancel}
	allow, err := peer.ParseNetworks(settings.DefaultAllow)
	if err != nil {
		cancel()
		return nil, err
	}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stubs.stop()
			return nil, errors.Wrap(err, "listening for a stub")
		}
		s := &stub{id: settings.UpstreamID(fmt.Sprintf("stub-%04d", i)), address: ln.Addr().String()}
		hello := peer.Hello{Protocol: peer.ProtocolVersion, Role: peer.RoleSide, ID: string(s.id), Incarnation: "stub"}
		s.endpoint = &peer.Endpoint{Handler: s, Allow: allow, LocalHello: func() peer.Hello {
			h := hello
			h.Sent = clock.Boot{}.Now()
			return h
		}}
		stubs.list = append(stubs.list, s)
		stubs.done.Add(1)
		go func() {
			defer stubs.done.Done()
			_ = s.endpoint.Listen(ctx, ln)
		}()
	}
	return stubs, nil
}

func (a *stubSet) stop() {
	a.cancel()
	for _, s := range a.list {
		s.endpoint.Close()
	}
	a.done.Wait()
}

// addTo adds the stubs to the declarations as upstreams of a service.
func (a *stubSet) addTo(d *settings.Declarations, service settings.ServiceName) {
	for _, s := range a.list {
		d.Upstreams[s.id] = settings.Upstream{Service: service, DataCentre: "kano", Side: s.address}
	}
}
