package fleet

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clienttest"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/standin/internal/plain"
)

// The tests in this file start a fleet whose VMs have little memory and few descriptors, and clients that do not behave. They check what
// does not depend on the speed of the machine. Each runs alone (make crowds).

// The VMs of these tests; the limit on bodies is the default.
const (
	crowdMemoryMB    = 128
	crowdDescriptors = 128
	crowdBodyLimit   = 4 << 20
)

// The clients of a crowd.
const (
	crowdClients     = 64
	crowdConnections = 160
	crowdBodyBytes   = 3 << 20
	// crowdChunkedBytes is the length of a body in chunks of one byte, of which a chunk takes six on the wire.
	crowdChunkedBytes = 2 << 20
	// crowdChats is the number of chats with very many messages.
	crowdChats = 8
	// crowdHeadFields make a head of about 3 MB.
	crowdHeadFields = 400_000
	// crowdSendTime bounds the wait for clients that the router lets wait.
	crowdSendTime = 30 * time.Second
)

// crowdTarget is a fleet of one router, one engine and two plain services that a crowd reaches.
type crowdTarget struct {
	*Fleet
	t         *testing.T
	ctx       context.Context
	processes map[string]*clienttest.Process
}

// startCrowdTarget starts a fleet whose plain services take half a second for a call.
func startCrowdTarget(t *testing.T) *crowdTarget {
	t.Helper()
	ct := &crowdTarget{t: t, ctx: testContext(t), processes: make(map[string]*clienttest.Process)}
	ct.Fleet = start(t, Options{Routers: 1, Engines: 1, PlainServices: 2, Descriptors: crowdDescriptors, MemoryMB: crowdMemoryMB})
	for _, u := range ct.PlainServices {
		qt.Assert(t, Post(ct.ctx, u.URL+"/faults", plain.Faults{DelayMS: 500}, nil), qt.IsNil)
	}
	ct.watch(ct.Routers[0].Process)
	for _, u := range ct.Upstreams() {
		ct.watch(u.Side)
	}
	return ct
}

func (ct *crowdTarget) watch(p *Process) { ct.processes[p.Name] = clienttest.Watch(ct.t, p.PID()) }

// chatHead and callHead return the heads of a chat and of a call to a plain service, up to the fields that frame their bodies.
func chatHead() string {
	return clienttest.Head(http.MethodPost, "/v1/chat/completions", "router", "Rattantrack-Team: "+string(Team))
}

func callHead() string {
	return clienttest.Head(http.MethodPost, "/v1/services/status/trips", "router", "Rattantrack-Team: "+string(Team))
}

// isAnswered sends one ordinary call, on a connection of its own, and reports whether it is answered.
func (ct *crowdTarget) isAnswered(method, body string) bool {
	c := NewClient(ct.Routers[0].URL)
	defer c.Close()
	res, err := c.CallPlain(ct.ctx, method, "status", "/trips", body, nil)
	return err == nil && res.Status == http.StatusOK
}

// eventually waits until ok returns true. It fails the test after about 30 s, which is enough on a busy machine.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1500 {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", what)
}

// meet lets a crowd send to an address, and checks that the processes live within the limits of their VMs and answer an ordinary call
// while the crowd keeps its connections, and one at the limit when the crowd has gone.
func (ct *crowdTarget) meet(clients int, address string, m clienttest.Misuse) {
	ct.t.Helper()
	crowd := clienttest.Start(ct.t, clients, address, m)
	crowd.Wait(crowdSendTime)
	ct.checkLimits()
	eventually(ct.t, "an ordinary call is answered beside the crowd", func() bool { return ct.isAnswered(http.MethodGet, "") })
	crowd.Close()
	eventually(ct.t, "a call at the limit is answered after the crowd", func() bool {
		return ct.isAnswered(http.MethodPost, strings.Repeat("x", crowdBodyLimit))
	})
	ct.checkLimits()
}

// checkLimits checks that the router and the sides live and have stayed within the memory and the descriptors of their VMs.
func (ct *crowdTarget) checkLimits() {
	ct.t.Helper()
	c := qt.New(ct.t)
	for name, p := range ct.processes {
		peak, err := p.PeakMemory()
		c.Assert(err, qt.IsNil, qt.Commentf(name))
		ct.t.Logf("%s: peak memory %d MB, most descriptors %d", name, peak>>20, p.Descriptors())
		c.Check(peak <= crowdMemoryMB<<20, qt.IsTrue, qt.Commentf("%s: peak memory %d MB, the VM has %d MB", name, peak>>20, crowdMemoryMB))
		c.Check(p.Descriptors() < crowdDescriptors, qt.IsTrue, qt.Commentf("%s: %d descriptors", name, p.Descriptors()))
	}
}

func (ct *crowdTarget) callerAddress() string {
	return strings.TrimPrefix(ct.Routers[0].URL, "http://")
}

// TestCrowdThatStopsShortOfItsChatsTakesAllMemory guards against keeping the bodies of all callers at once.
func TestCrowdThatStopsShortOfItsChatsTakesAllMemory(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdClients, ct.callerAddress(), clienttest.StopShort(chatHead(), make([]byte, crowdBodyBytes)))
}

// TestCrowdThatSendsChatsInPiecesTakesAllMemory guards against the same with bodies that come slowly.
func TestCrowdThatSendsChatsInPiecesTakesAllMemory(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdClients, ct.callerAddress(),
		clienttest.InPieces(chatHead(), make([]byte, crowdBodyBytes), 16<<10, 20*time.Millisecond))
}

// TestCrowdThatStopsShortOfLargeCallChunksTakesAllMemory guards against the same with bodies of unknown length.
func TestCrowdThatStopsShortOfLargeCallChunksTakesAllMemory(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdClients, ct.callerAddress(), clienttest.LargeChunk(callHead(), make([]byte, crowdBodyBytes)))
}

// TestCrowdThatSendsCallChunksOfOneByteTakesAllMemory guards against the same with bodies that grow by single bytes.
func TestCrowdThatSendsCallChunksOfOneByteTakesAllMemory(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdClients, ct.callerAddress(), clienttest.SmallChunks(callHead(), crowdChunkedBytes))
}

// TestCrowdThatSendsWholeCallsTakesAllMemory guards against keeping the bodies of all calls that run, at the router and at the sides, and
// all their answers, which these callers do not read.
func TestCrowdThatSendsWholeCallsTakesAllMemory(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdClients, ct.callerAddress(), clienttest.Whole(callHead(), []byte(strings.Repeat("x", crowdBodyBytes))))
}

// TestCrowdThatAnnouncesCallsOverTheLimitTakesAllMemory guards against reading bodies that are known to be too large.
func TestCrowdThatAnnouncesCallsOverTheLimitTakesAllMemory(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdClients, ct.callerAddress(), clienttest.Announced(callHead(), 1<<40, make([]byte, 12<<20)))
}

// TestCrowdThatSendsCallChunksWithoutEndTakesAllMemory guards against keeping what callers send up to the limit, by many callers.
func TestCrowdThatSendsCallChunksWithoutEndTakesAllMemory(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdClients, ct.callerAddress(), clienttest.EndlessChunks(callHead(), make([]byte, 64<<10), 192))
}

// TestCrowdOfChatsWithManyMessagesTakesAllMemory guards against making a value of each message of a chat, which takes far more memory
// than its bytes.
func TestCrowdOfChatsWithManyMessagesTakesAllMemory(t *testing.T) {
	ct := startCrowdTarget(t)
	body := `{"model":"answer","stream":true,"messages":[0` + strings.Repeat(",0", crowdBodyBytes/2) + `]}`
	ct.meet(crowdChats, ct.callerAddress(), clienttest.Whole(chatHead(), []byte(body)))
}

// TestCrowdOfUnusedCallerConnectionsTakesAllDescriptors guards against callers that connect and send nothing.
func TestCrowdOfUnusedCallerConnectionsTakesAllDescriptors(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdConnections, ct.callerAddress(), clienttest.Nothing)
}

// TestCrowdOfUnfinishedCallerHeadsTakesAllDescriptors guards against callers that do not end their heads.
func TestCrowdOfUnfinishedCallerHeadsTakesAllDescriptors(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdConnections, ct.callerAddress(), clienttest.ShortFields(callHead(), 2500))
}

// TestCrowdOfSmallUnfinishedCallsTakesAllDescriptors guards against callers that hold a connection each with a body of few bytes.
func TestCrowdOfSmallUnfinishedCallsTakesAllDescriptors(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdConnections, ct.callerAddress(), clienttest.StopShort(callHead(), make([]byte, 100)))
}

// TestCrowdOnRouterOperatorPortTakesAllDescriptors guards against bodies on the operators' port that do not end.
func TestCrowdOnRouterOperatorPortTakesAllDescriptors(t *testing.T) {
	ct := startCrowdTarget(t)
	head := clienttest.Head(http.MethodPost, "/dump", "router")
	ct.meet(crowdConnections, ct.Routers[0].Operator, clienttest.StopShort(head, make([]byte, 100)))
}

// TestCrowdOnSideOperatorPortTakesAllDescriptors guards against the same at a side.
func TestCrowdOnSideOperatorPortTakesAllDescriptors(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdConnections, ct.PlainServices[0].Operator, clienttest.Nothing)
}

// TestCrowdOnRouterPeerPortTakesAllMemory guards against keeping what a process announces that has not said who it is.
func TestCrowdOnRouterPeerPortTakesAllMemory(t *testing.T) {
	ct := startCrowdTarget(t)
	frame := binary.BigEndian.AppendUint32(nil, 8<<20)
	ct.meet(crowdClients, ct.Routers[0].Peer, clienttest.Bytes(frame, make([]byte, crowdBodyBytes)))
}

// TestCrowdOnSidePeerPortTakesAllMemory guards against the same at a side.
func TestCrowdOnSidePeerPortTakesAllMemory(t *testing.T) {
	ct := startCrowdTarget(t)
	frame := binary.BigEndian.AppendUint32(nil, 8<<20)
	ct.meet(crowdClients, ct.PlainServices[0].Peer, clienttest.Bytes(frame, make([]byte, crowdBodyBytes)))
}

// TestCrowdOnSidePeerPortTakesAllDescriptors guards against connections of which no process makes a link.
func TestCrowdOnSidePeerPortTakesAllDescriptors(t *testing.T) {
	ct := startCrowdTarget(t)
	ct.meet(crowdConnections, ct.PlainServices[0].Peer, clienttest.Nothing)
}

// The routers that send calls to one side at the same time.
const (
	crowdRouters        = 8
	crowdCallsPerRouter = 8
)

// submitFrom sends calls to the plain side with the given address as a router of its own does, and keeps them open until the test ends.
func (ct *crowdTarget) submitFrom(name, address string, calls int, body []byte) {
	endpoint := &peer.Endpoint{
		LocalHello: func() peer.Hello {
			return peer.Hello{Protocol: peer.ProtocolVersion, Role: peer.RoleRouter, ID: name, DataCentre: "kano", Sent: clock.Boot{}.Now()}
		},
		Handler: ignoreStreams{},
	}
	ct.t.Cleanup(endpoint.Close)
	link, err := endpoint.Dial(ct.ctx, address)
	qt.Assert(ct.t, err, qt.IsNil)
	for i := range calls {
		m := &peer.Submit{
			Request: peer.RequestID(fmt.Sprintf("%s-%d", name, i)), Attempt: 1, Profile: "status", Team: Team, Remaining: 10 * time.Second,
			Sent: clock.Boot{}.Now(), Method: http.MethodPost, Path: "/trips", Body: body,
		}
		// A side may refuse a call or close the link.
		_, _ = link.Open(ct.ctx, m)
	}
}

// ignoreStreams drops the streams that a side opens.
type ignoreStreams struct{}

func (ignoreStreams) Serve(context.Context, *peer.Stream, peer.Message) {}

// TestCrowdOfRoutersTakesAllMemoryOfSide guards against a side that keeps the bodies of whatever calls its routers admit.
func TestCrowdOfRoutersTakesAllMemoryOfSide(t *testing.T) {
	ct := startCrowdTarget(t)
	body := make([]byte, crowdBodyBytes)
	for i := range body {
		// Bytes that hardly compress.
		body[i] = byte(rand.Uint32())
	}
	for i := range crowdRouters {
		ct.submitFrom(fmt.Sprintf("crowd-%d", i), ct.PlainServices[0].Peer, crowdCallsPerRouter, body)
	}
	time.Sleep(3 * time.Second)
	ct.checkLimits()
	eventually(t, "an ordinary call is answered", func() bool { return ct.isAnswered(http.MethodGet, "") })
	eventually(t, "a call at the limit is answered", func() bool {
		return ct.isAnswered(http.MethodPost, strings.Repeat("x", crowdBodyLimit))
	})
	ct.checkLimits()
}

// TestCrowdOfUpstreamsThatSendEndlessHeadsTakesAllMemoryOfSides guards against keeping whatever upstreams send in heads.
func TestCrowdOfUpstreamsThatSendEndlessHeadsTakesAllMemoryOfSides(t *testing.T) {
	ct := startCrowdTarget(t)
	for _, u := range ct.PlainServices {
		qt.Assert(t, Post(ct.ctx, u.URL+"/faults", plain.Faults{HeadFields: crowdHeadFields}, nil), qt.IsNil)
	}
	crowd := clienttest.Start(t, crowdClients, ct.callerAddress(), clienttest.Whole(callHead(), []byte("trip")))
	crowd.Wait(crowdSendTime)
	time.Sleep(3 * time.Second)
	ct.checkLimits()
	crowd.Close()
	for _, u := range ct.PlainServices {
		qt.Assert(t, Post(ct.ctx, u.URL+"/faults", plain.Faults{}, nil), qt.IsNil)
	}
	eventually(t, "an ordinary call is answered", func() bool { return ct.isAnswered(http.MethodGet, "") })
	ct.checkLimits()
}

// TestLoneCallAtLimitIsRefused guards against bounds for many that a single call meets.
func TestLoneCallAtLimitIsRefused(t *testing.T) {
	ct := startCrowdTarget(t)
	for range 3 {
		qt.Assert(t, ct.isAnswered(http.MethodPost, strings.Repeat("x", crowdBodyLimit)), qt.IsTrue)
	}
}
