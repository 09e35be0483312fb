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

// Names of the services that the fleet declares.
const (
	ModelService = settings.ServiceName("letterhouse")
	PlainService = settings.ServiceName("permit-desk")
	Team         = settings.TeamID("parents")
)

// Options shape a fleet.
type Options struct {
	// Bin is the directory of the programs, Dir one for settings files.
	Bin     string
	Dir     string
	Routers int
	Engines int
	Plains  int
	// DecodeRate is the engines' answer tokens a second.
	DecodeRate float64
	// Declare changes the declarations before the start.
	Declare func(f *settings.Declarations)
	// DrainTime is the processes' drain time, NoticeTime the routers' notice time.
	DrainTime  time.Duration
	NoticeTime time.Duration
}

// Unit is an upstream with its side.
type Unit struct {
	ID       settings.UpstreamID
	Upstream *Process
	Side     *Process
	// URL is the upstream's base URL, Peer and Operator the side's addresses.
	URL      string
	Peer     string
	Operator string
}

// Entry is one router.
type Entry struct {
	*Process
	// URL is the base URL for callers.
	URL      string
	Peer     string
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
	Routers       []*Entry
	Engines       []*Unit
	Plains        []*Unit

	started []*Process
}

// Start starts a fleet and waits until all of it is ready.
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
		f.planUnits,
		f.planRouters,
		f.startPlatform,
		f.startUpstreams,
		f.startRouters,
		f.startSides,
		f.waitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops every process, routers first, and reports those that did not end cleanly.
func (f *Fleet) Stop() error {
	var all error
	for i := len(f.started) - 1; i >= 0; i-- {
		p := f.started[i]
		select {
		case <-p.done:
			continue
		default:
		}
		all = errors.CombineErrors(all, p.Stop())
	}
	return all
}

// Ports of the fleet's processes, below those that the system gives to outgoing connections.
const (
	firstPort  = 18000
	blockPorts = 500
	blocks     = 28
)

var nextPort atomic.Int64

// portBlock is a block of ports that no other test process on this machine uses. It belongs to whoever listens on its
// first port, which lasts until the process ends.
type portBlock struct {
	first int64
	owner net.Listener
}

var ownBlock = sync.OnceValue(func() portBlock {
	for i := range int64(blocks) {
		first := firstPort + i*blockPorts
		if ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return portBlock{first: first, owner: ln}
		}
	}
	return portBlock{}
})

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	block := ownBlock()
	if block.owner == nil {
		return "", errors.New("no free block of ports")
	}
	for range blockPorts {
		address := fmt.Sprintf("127.0.0.1:%d", block.first+1+nextPort.Add(1)%(blockPorts-1))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, errors.Wrap(ln.Close(), "closing a probe")
	}
	return "", errors.New("no free port")
}

func addresses(into ...*string) error {
	for _, a := range into {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	return nil
}

func (f *Fleet) planUnits(context.Context) error {
	f.Declarations = baseDeclarations()
	var err error
	f.Engines, err = f.plan(ModelService, "runner", f.Options.Engines)
	if err != nil {
		return err
	}
	f.Plains, err = f.plan(PlainService, "desk", f.Options.Plains)
	if err != nil {
		return err
	}
	if f.Options.Declare != nil {
		f.Options.Declare(f.Declarations)
	}
	return nil
}

func (f *Fleet) plan(service settings.ServiceName, prefix string, n int) ([]*Unit, error) {
	var units []*Unit
	for i := range n {
		u := &Unit{ID: settings.UpstreamID(fmt.Sprintf("%s-%02d", prefix, i+1))}
		var upstream string
		if err := addresses(&upstream, &u.Peer, &u.Operator); err != nil {
			return nil, err
		}
		u.URL = "http://" + upstream
		f.Declarations.Upstreams[u.ID] = settings.Upstream{Service: service, DataCentre: "kano", Side: u.Peer}
		units = append(units, u)
	}
	return units, nil
}

// baseDeclarations returns profiles like those of a first user.
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
		e := &Entry{}
		var caller string
		if err := addresses(&caller, &e.Peer, &e.Operator); err != nil {
			return err
		}
		e.URL = "http://" + caller
		e.cfg = settings.Router{
			ID:         fmt.Sprintf("router-%02d", i+1),
			DataCentre: "kano",
			Caller:     caller,
			Operator:   e.Operator,
			Peer:       e.Peer,
			NoticeTime: f.Options.NoticeTime,
			DrainTime:  f.Options.DrainTime,
		}
		e.Process = f.process(e.cfg.ID, "router", "http://"+e.Operator+"/readyz")
		e.args = []string{"--config", f.settingsFile(e.cfg.ID)}
		f.Routers = append(f.Routers, e)
	}
	return nil
}

func (f *Fleet) process(name, program, ready string) *Process {
	return &Process{Name: name, path: filepath.Join(f.Options.Bin, program), Ready: ready}
}

func (f *Fleet) settingsFile(name string) string {
	return filepath.Join(f.Options.Dir, name+".yaml")
}

func (f *Fleet) writeSettings(name string, cfg any) error {
	text, err := yaml.Marshal(cfg)
	if err != nil {
		return errors.Wrapf(err, "encoding the settings of %s", name)
	}
	return errors.Wrap(os.WriteFile(f.settingsFile(name), text, 0o600), "writing settings")
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	var config, list string
	if err := addresses(&config, &list); err != nil {
		return err
	}
	f.ConfigURL = "http://" + config
	f.VMListURL = "http://" + list
	f.Configuration = f.process("configuration", "standin", f.ConfigURL+"/reads")
	f.Configuration.args = []string{"configuration", "--listen", config}
	f.VMList = f.process("vm-list", "standin", f.VMListURL+"/v1/vms")
	f.VMList.args = []string{"vm-list", "--listen", list, "--lag", "500ms"}
	if err := f.run(ctx, f.Configuration, f.VMList); err != nil {
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

// run starts processes together and waits for all of them.
func (f *Fleet) run(ctx context.Context, list ...*Process) error {
	for _, p := range list {
		if err := p.Launch(); err != nil {
			return err
		}
		f.started = append(f.started, p)
	}
	for _, p := range list {
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
	var list []*Process
	for _, u := range f.Engines {
		u.Upstream = f.process(string(u.ID)+"-engine", "standin", u.URL+"/counts")
		u.Upstream.args = []string{"engine", "--listen", u.URL[len("http://"):], "--decode-rate", fmt.Sprint(rate)}
		list = append(list, u.Upstream)
	}
	for _, u := range f.Plains {
		u.Upstream = f.process(string(u.ID)+"-service", "standin", u.URL+"/runs")
		u.Upstream.args = []string{"plain", "--listen", u.URL[len("http://"):], "--name", string(u.ID)}
		list = append(list, u.Upstream)
	}
	return f.run(ctx, list...)
}

func (f *Fleet) startRouters(context.Context) error {
	for _, e := range f.Routers {
		e.cfg.Configuration = f.ConfigURL
		e.cfg.VMList = f.VMListURL
		if err := f.writeSettings(e.Name, e.cfg); err != nil {
			return err
		}
		if err := e.Launch(); err != nil {
			return err
		}
		f.started = append(f.started, e.Process)
	}
	return nil
}

func (f *Fleet) startSides(context.Context) error {
	var seeds []string
	for _, e := range f.Routers {
		seeds = append(seeds, e.Peer)
	}
	for _, u := range f.Units() {
		cfg := settings.Side{
			Upstream:   u.ID,
			DataCentre: "kano",
			Peer:       u.Peer,
			Operator:   u.Operator,
			URL:        u.URL,
			Peers:      seeds,
			DrainTime:  f.Options.DrainTime,
		}
		name := string(u.ID)
		u.Side = f.process(name, "side", "http://"+u.Operator+"/readyz")
		u.Side.args = []string{"--config", f.settingsFile(name)}
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

func (f *Fleet) waitReady(ctx context.Context) error {
	for _, p := range f.started {
		if err := p.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// StartRelay starts a naive relay before the engines and returns it with its base URL.
func (f *Fleet) StartRelay(ctx context.Context) (*Process, string, error) {
	var address string
	if err := addresses(&address); err != nil {
		return nil, "", err
	}
	url := "http://" + address
	p := f.process("relay", "standin", url+"/counts")
	p.args = []string{"relay", "--listen", address}
	for _, u := range f.Engines {
		p.args = append(p.args, "--targets", u.URL)
	}
	return p, url, f.run(ctx, p)
}

// Units returns every upstream.
func (f *Fleet) Units() []*Unit {
	return append(append([]*Unit{}, f.Engines...), f.Plains...)
}

// LiveVMs returns the VM list in which everything is live.
func (f *Fleet) LiveVMs() []configuration.VM {
	var vms []configuration.VM
	for _, e := range f.Routers {
		vms = append(vms, configuration.VM{Address: e.Peer, Role: configuration.RoleRouter, State: configuration.VMLive})
	}
	for _, u := range f.Units() {
		vms = append(vms, configuration.VM{Address: u.Peer, Role: "upstream", State: configuration.VMLive})
	}
	return vms
}

// Publish puts documents in force at the configuration service.
func (f *Fleet) Publish(ctx context.Context, docs ...settings.Document) (settings.Revision, error) {
	var r settings.Revision
	err := Post(ctx, f.ConfigURL+"/publish", docs, &r)
	return r, err
}

// SetVMs replaces the VM list.
func (f *Fleet) SetVMs(ctx context.Context, vms []configuration.VM) error {
	return Post(ctx, f.VMListURL+"/set", configuration.VMs{VMs: vms}, nil)
}

// Post sends a JSON body and decodes the answer into out unless that is nil.
func Post(ctx context.Context, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encoding a body")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "building a request")
	}
	return do(req, out)
}

// Get decodes the JSON answer of a URL into out.
func Get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrap(err, "building a request")
	}
	return do(req, out)
}

func do(req *http.Request, out any) error {
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "sending a request")
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Newf("%s answered %d", req.URL, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(res.Body).Decode(out), "decoding an answer")
}
