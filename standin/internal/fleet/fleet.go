package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"

	"rattantrack.dev/core/configuration"
	"rattantrack.dev/core/settings"
)

// Names of the services and of the team that the fleet declares.
const (
	ModelService = settings.ServiceName("letterhouse")
	PlainService = settings.ServiceName("permit-desk")
	Team         = settings.TeamID("parents")
)

// Options are the settings of a fleet.
type Options struct {
	// BinDir is the directory that contains the programs.
	BinDir string
	// SettingsDir is the directory to which the settings files are written.
	SettingsDir   string
	Routers       int
	Engines       int
	PlainServices int
	// DecodeRate is the number of answer tokens a second that an engine sends on each stream, 0 for 200.
	DecodeRate float64
	// EditDeclarations changes the declarations before they are published; it may be nil.
	EditDeclarations func(d *settings.Declarations)
	// DrainTime is the drain time of the routers and sides.
	DrainTime time.Duration
	// NoticeTime is the notice time of the routers.
	NoticeTime time.Duration
	// Descriptors limits the open files of a router and of a side, and MemoryMB is the memory in MB that their settings name, 0 for none.
	Descriptors int
	MemoryMB    int64
}

// Upstream is an upstream process with its side.
type Upstream struct {
	ID      settings.UpstreamID
	Process *Process
	Side    *Process
	// URL is the base URL of the upstream process.
	URL string
	// Peer is the side's address for routers and other sides.
	Peer string
	// Operator is the side's address for operators.
	Operator string
}

// Router is a router process with its addresses.
type Router struct {
	*Process
	// URL is the base URL for callers.
	URL string
	// Peer is the address for sides and other routers.
	Peer string
	// Operator is the address for operators.
	Operator string

	cfg settings.Router
}

// Fleet is a running fleet.
type Fleet struct {
	Options       Options
	Declarations  *settings.Declarations
	Configuration *Process
	VMList        *Process
	ConfigURL     string
	VMListURL     string
	Routers       []*Router
	Engines       []*Upstream
	PlainServices []*Upstream

	// started lists the processes in the order of their start.
	started []*Process
}

// Start starts a fleet and waits until every process is ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{Options: o}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.planUpstreams,
		f.planRouters,
		f.startPlatform,
		f.startUpstreams,
		f.startRouters,
		f.startSides,
		f.waitAllReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops the running processes in the reverse order of their start and returns the errors of those that did not end
// cleanly.
func (f *Fleet) Stop() error {
	var err error
	for i := len(f.started) - 1; i >= 0; i-- {
		p := f.started[i]
		select {
		case <-p.done:
			continue
		default:
		}
		err = errors.CombineErrors(err, p.Stop())
	}
	return err
}

// Ports of the fleet's processes. They lie below the ephemeral ports, which the kernel assigns to outgoing connections.
const (
	firstPort     = 18000
	portsPerBlock = 500
	blockCount    = 28
)

// nextPort counts the ports tried, so that an address is not returned again right away.
var nextPort atomic.Int64

// portBlock is a block of ports reserved for this process. A process reserves a block by listening on the block's first
// port until it ends, so that test processes that run at the same time do not use each other's ports.
type portBlock struct {
	first    int64
	listener net.Listener
}

// reservedBlock reserves a block on its first call; its listener is nil if every block is taken.
var reservedBlock = sync.OnceValue(func() portBlock {
	for i := range int64(blockCount) {
		first := firstPort + i*portsPerBlock
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return portBlock{first: first, listener: ln}
		}
	}
	return portBlock{}
})

// freeAddress returns a loopback address on which no process listens at present.
func freeAddress() (string, error) {
	block := reservedBlock()
	if block.listener == nil {
		return "", errors.New("no free block of ports")
	}
	for range portsPerBlock {
		address := fmt.Sprintf("127.0.0.1:%d", block.first+1+nextPort.Add(1)%(portsPerBlock-1))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, errors.Wrap(ln.Close(), "closing a probe")
	}
	return "", errors.New("no free port")
}

// assignAddresses sets each target to a free loopback address.
func assignAddresses(targets ...*string) error {
	for _, target := range targets {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		*target = address
	}
	return nil
}

func (f *Fleet) planUpstreams(context.Context) error {
	f.Declarations = baseDeclarations()
	var err error
	f.Engines, err = f.planService(ModelService, "runner", f.Options.Engines)
	if err != nil {
		return err
	}
	f.PlainServices, err = f.planService(PlainService, "desk", f.Options.PlainServices)
	if err != nil {
		return err
	}
	if f.Options.EditDeclarations != nil {
		f.Options.EditDeclarations(f.Declarations)
	}
	return nil
}

func (f *Fleet) planService(service settings.ServiceName, prefix string, n int) ([]*Upstream, error) {
	var upstreams []*Upstream
	for i := range n {
		u := &Upstream{ID: settings.UpstreamID(fmt.Sprintf("%s-%02d", prefix, i+1))}
		var address string
		if err := assignAddresses(&address, &u.Peer, &u.Operator); err != nil {
			return nil, err
		}
		u.URL = "http://" + address
		f.Declarations.Upstreams[u.ID] = settings.Upstream{Service: service, DataCentre: "kano", Side: u.Peer}
		upstreams = append(upstreams, u)
	}
	return upstreams, nil
}

// baseDeclarations returns the declarations of a small deployment, without upstreams.
func baseDeclarations() *settings.Declarations {
	return &settings.Declarations{
		Profiles: map[settings.ProfileName]settings.Profile{
			"answer": {Service: ModelService, Priority: settings.PriorityUrgent, Deadline: 20 * time.Second, Idempotent: true, Retries: 3, ExpectedTokens: 24},
			"draft":  {Service: ModelService, Priority: settings.PriorityPatient, Deadline: 60 * time.Second, Idempotent: true, Retries: 3, ExpectedTokens: 100},
			"status": {Service: PlainService, Priority: settings.PriorityNormal, Deadline: 10 * time.Second, Idempotent: true, Retries: 3},
			"debit":  {Service: PlainService, Priority: settings.PriorityUrgent, Deadline: 10 * time.Second},
		},
		Services: map[settings.ServiceName]settings.Service{
			ModelService: {Kind: settings.KindModel, Model: "letterhouse-8b", MaxRunning: 32, MaxQueued: 256, KVTransfer: true},
			PlainService: {Kind: settings.KindPlain, KeyLifetime: time.Minute, MaxRunning: 64, MaxQueued: 256},
		},
		Upstreams: make(map[settings.UpstreamID]settings.Upstream),
		Teams: map[settings.TeamID]settings.Team{
			Team:    {Share: 1, MaxOpen: 4000},
			"heads": {Share: 1, MaxOpen: 4000},
		},
	}
}

func (f *Fleet) planRouters(context.Context) error {
	for i := range f.Options.Routers {
		r := &Router{}
		var caller string
		if err := assignAddresses(&caller, &r.Peer, &r.Operator); err != nil {
			return err
		}
		r.URL = "http://" + caller
		r.cfg = settings.Router{
			ID:         fmt.Sprintf("router-%02d", i+1),
			DataCentre: "kano",
			Caller:     caller,
			Operator:   r.Operator,
			Peer:       r.Peer,
			NoticeTime: f.Options.NoticeTime,
			DrainTime:  f.Options.DrainTime,
			MemoryMB:   f.Options.MemoryMB,
		}
		r.Process = f.newProcess(r.cfg.ID, "router", "http://"+r.Operator+"/readyz")
		r.args = []string{"--config", f.settingsPath(r.cfg.ID)}
		r.descriptors = f.Options.Descriptors
		f.Routers = append(f.Routers, r)
	}
	return nil
}

func (f *Fleet) newProcess(name, program, ready string) *Process {
	return &Process{Name: name, path: filepath.Join(f.Options.BinDir, program), ReadyURL: ready}
}

func (f *Fleet) settingsPath(name string) string {
	return filepath.Join(f.Options.SettingsDir, name+".yaml")
}

func (f *Fleet) writeSettings(name string, cfg any) error {
	text, err := yaml.Marshal(cfg)
	if err != nil {
		return errors.Wrapf(err, "encoding the settings of %s", name)
	}
	return errors.Wrap(os.WriteFile(f.settingsPath(name), text, 0o600), "writing settings")
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	var config, list string
	if err := assignAddresses(&config, &list); err != nil {
		return err
	}
	f.ConfigURL = "http://" + config
	f.VMListURL = "http://" + list
	f.Configuration = f.newProcess("configuration", "standin", f.ConfigURL+"/reads")
	f.Configuration.args = []string{"configuration", "--listen", config}
	f.VMList = f.newProcess("vm-list", "standin", f.VMListURL+"/v1/vms")
	f.VMList.args = []string{"vm-list", "--listen", list, "--lag", "500ms"}
	if err := f.startAll(ctx, f.Configuration, f.VMList); err != nil {
		return err
	}
	docs, err := f.Declarations.Documents()
	if err != nil {
		return err
	}
	if _, err := f.Publish(ctx, docs...); err != nil {
		return err
	}
	return f.SetVMs(ctx, f.LiveVMs())
}

// startAll launches processes and waits until all of them are ready.
func (f *Fleet) startAll(ctx context.Context, processes ...*Process) error {
	for _, p := range processes {
		if err := p.Launch(); err != nil {
			return err
		}
		f.started = append(f.started, p)
	}
	for _, p := range processes {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startUpstreams(ctx context.Context) error {
	rate := f.Options.DecodeRate
	if rate == 0 {
		rate = 200
	}
	var processes []*Process
	for _, u := range f.Engines {
		u.Process = f.newProcess(string(u.ID)+"-engine", "standin", u.URL+"/counts")
		u.Process.args = []string{"engine", "--listen", u.URL[len("http://"):], "--decode-rate", fmt.Sprint(rate)}
		processes = append(processes, u.Process)
	}
	for _, u := range f.PlainServices {
		u.Process = f.newProcess(string(u.ID)+"-service", "standin", u.URL+"/runs")
		u.Process.args = []string{"plain", "--listen", u.URL[len("http://"):], "--name", string(u.ID)}
		processes = append(processes, u.Process)
	}
	return f.startAll(ctx, processes...)
}

func (f *Fleet) startRouters(context.Context) error {
	for _, r := range f.Routers {
		r.cfg.Configuration = f.ConfigURL
		r.cfg.VMList = f.VMListURL
		if err := f.writeSettings(r.Name, r.cfg); err != nil {
			return err
		}
		if err := r.Launch(); err != nil {
			return err
		}
		f.started = append(f.started, r.Process)
	}
	return nil
}

func (f *Fleet) startSides(context.Context) error {
	var seeds []string
	for _, r := range f.Routers {
		seeds = append(seeds, r.Peer)
	}
	for _, u := range f.Upstreams() {
		cfg := settings.Side{
			Upstream:   u.ID,
			DataCentre: "kano",
			Peer:       u.Peer,
			Operator:   u.Operator,
			URL:        u.URL,
			Peers:      seeds,
			DrainTime:  f.Options.DrainTime,
			MemoryMB:   f.Options.MemoryMB,
		}
		name := string(u.ID)
		u.Side = f.newProcess(name, "side", "http://"+u.Operator+"/readyz")
		u.Side.args = []string{"--config", f.settingsPath(name)}
		u.Side.descriptors = f.Options.Descriptors
		if err := f.writeSettings(name, cfg); err != nil {
			return err
		}
		if err := u.Side.Launch(); err != nil {
			return err
		}
		f.started = append(f.started, u.Side)
	}
	return nil
}

func (f *Fleet) waitAllReady(ctx context.Context) error {
	for _, p := range f.started {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// StartRelay starts a relay that passes requests to the engines in turn, and returns it with its base URL.
func (f *Fleet) StartRelay(ctx context.Context) (*Process, string, error) {
	var address string
	if err := assignAddresses(&address); err != nil {
		return nil, "", err
	}
	url := "http://" + address
	p := f.newProcess("relay", "standin", url+"/counts")
	p.args = []string{"relay", "--listen", address}
	for _, u := range f.Engines {
		p.args = append(p.args, "--targets", u.URL)
	}
	return p, url, f.startAll(ctx, p)
}

// Upstreams returns the engines and the plain services.
func (f *Fleet) Upstreams() []*Upstream {
	return append(append([]*Upstream{}, f.Engines...), f.PlainServices...)
}

// LiveVMs returns a VM list with every router and side in the live state.
func (f *Fleet) LiveVMs() []configuration.VM {
	var vms []configuration.VM
	for _, r := range f.Routers {
		vms = append(vms, configuration.VM{Address: r.Peer, Role: configuration.RoleRouter, State: configuration.VMLive})
	}
	for _, u := range f.Upstreams() {
		vms = append(vms, configuration.VM{Address: u.Peer, Role: "upstream", State: configuration.VMLive})
	}
	return vms
}

// Publish publishes documents as the next revision of the configuration service.
func (f *Fleet) Publish(ctx context.Context, docs ...settings.Document) (settings.Revision, error) {
	var r settings.Revision
	err := Post(ctx, f.ConfigURL+"/publish", docs, &r)
	return r, err
}

// SetVMs replaces the list of the VM list service.
func (f *Fleet) SetVMs(ctx context.Context, vms []configuration.VM) error {
	return Post(ctx, f.VMListURL+"/set", configuration.VMs{VMs: vms}, nil)
}

// Post sends a JSON body and decodes the response into out, unless out is nil.
func Post(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encoding a body")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building a request")
	}
	return doJSON(req, out)
}

// Get decodes the JSON response of a URL into out.
func Get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "building a request")
	}
	return doJSON(req, out)
}

func doJSON(req *http.Request, out any) error {
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending a request")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("%s responded with status %d", req.URL, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(res.Body).Decode(out), "decoding a response")
}
