package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: routers as separate processes, each on its own loopback address, and the stand-ins.
type fleet struct {
	store                           *store
	rec                             *record
	dir, repo                       string
	callerPort, readyPort, peerPort string
	seeds                           int
	grace                           int

	mu      sync.Mutex
	routers map[int]*process
}

// process is one router process.
type process struct {
	n      int
	cmd    *exec.Cmd
	exited chan struct{}
}

func newFleet(rec *record) *fleet {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	repo, err := os.Getwd()
	if err != nil {
		cannotRun("folder: %v", err)
	}
	return &fleet{store: startStore(), rec: rec, dir: dir, repo: repo, routers: map[int]*process{}, seeds: 1, grace: 8,
		callerPort: freePort(), readyPort: freePort(), peerPort: freePort()}
}

func freePort() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("free port: %v", err)
	}
	defer ln.Close()
	_, port, _ := net.SplitHostPort(ln.Addr().String())
	return port
}

// ip returns the address of the n-th router's machine.
func ip(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/254%254, 1+pid%254, n+10)
}

func (f *fleet) front(n int) string { return ip(n) + ":" + f.callerPort }
func (f *fleet) ready(n int) string { return ip(n) + ":" + f.readyPort }

var placeholder = regexp.MustCompile(`\{\{([a-z.-]+)\}\}`)

// settings fills in the template of the deploy file as the platform does.
func (f *fleet) settings(n int, first bool) string {
	text, err := os.ReadFile(filepath.Join(f.repo, "platform/router.yaml.tmpl"))
	if err != nil {
		cannotRun("template: %v", err)
	}
	values := map[string]string{
		"node-name": fmt.Sprintf("front-%d", n), "zone": "kano", "ip": ip(n),
		"listen.front": f.front(n), "listen.ready": f.ready(n), "listen.control": ip(n) + ":" + f.peerPort,
		"platform.address": f.store.address, "bootstrap": fmt.Sprint(first), "limits.memory-mb": "284", "limits.cpu-share": "0.304",
		"bounds.grace-s": fmt.Sprint(f.grace), "bounds.retry-budget-ratio": "0.2", "bounds.retry-budget-slack": "58",
		"bounds.retry-window-s": "10", "bounds.cold-overage": "1.5", "bounds.cold-slack": "5",
	}
	var seeds strings.Builder
	for i := 1; i <= f.seeds; i++ {
		seeds.WriteString("  - " + ip(i) + ":" + f.peerPort + "\n")
	}
	out := strings.Replace(string(text), "{{#seeds}}  - {{.}}\n{{/seeds}}", seeds.String(), 1)
	return placeholder.ReplaceAllStringFunc(out, func(p string) string {
		v, ok := values[p[2:len(p)-2]]
		if !ok {
			cannotRun("the template has an unknown placeholder %s", p)
		}
		return v
	})
}

// start starts the n-th router with the command of the deploy file.
func (f *fleet) start(n int, first bool) {
	file := filepath.Join(f.dir, fmt.Sprintf("settings-%d.conf", n))
	if err := os.WriteFile(file, []byte(f.settings(n, first)), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	out, err := os.OpenFile(filepath.Join(f.dir, fmt.Sprintf("router-%d.log", n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	cmd := exec.Command("target/router", "--config", file)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.repo, out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	// The routers end with this program, whatever ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cannotRun("router: %v", err)
	}
	p := &process{n: n, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(p.exited)
	}()
	f.mu.Lock()
	f.routers[n] = p
	f.mu.Unlock()
	f.rec.add("router %d starts (pid %d) at %s", n, cmd.Process.Pid, f.front(n))
}

// signal sends a signal to the n-th router.
func (f *fleet) signal(n int, s syscall.Signal) {
	f.mu.Lock()
	p := f.routers[n]
	f.mu.Unlock()
	if p == nil {
		return
	}
	f.rec.add("router %d gets %s", n, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the n-th router with SIGKILL and waits for its end.
func (f *fleet) kill(n int) {
	f.signal(n, syscall.SIGKILL)
	f.mu.Lock()
	p := f.routers[n]
	f.mu.Unlock()
	if p != nil {
		<-p.exited
	}
}

// isReady asks as the platform does.
func (f *fleet) isReady(n int) bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	res, err := c.Get("http://" + f.ready(n) + "/v1/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// waitReady waits until the routers are ready.
func (f *fleet) waitReady(limit time.Duration, list ...int) bool {
	end := time.Now().Add(limit)
	for _, n := range list {
		for !f.isReady(n) {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// stop ends all routers and removes the temporary folder.
func (f *fleet) stop() {
	f.mu.Lock()
	list := make([]*process, 0, len(f.routers))
	for _, p := range f.routers {
		list = append(list, p)
	}
	f.mu.Unlock()
	for _, p := range list {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("kept", f.dir)
	}
}

// route, service and tenant are parts of the operator's configuration.
type route map[string]any

func streamRoute(name, prefix, service string, resume bool, attempts int) route {
	return route{"name": name, "host": "forms.example", "path-prefix": prefix, "route-type": "stream", "timeout-ms": 15000,
		"target-latency-ms": 800, "priority": 1, "service": service, "attempts": attempts, "public": false, "session-affinity": true,
		"stream-resume": resume, "gap-target-ms": 300}
}

func plainRoute(name, prefix, service, kind string, attempts int) route {
	return route{"name": name, "host": "forms.example", "path-prefix": prefix, "route-type": kind, "timeout-ms": 4000,
		"target-latency-ms": 300, "priority": 1, "service": service, "attempts": attempts, "public": false, "session-affinity": false,
		"stream-resume": false}
}

func engineService(name string, slots int) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": slots, "kv-capacity": 636392, "kv-token-bytes": 18432, "link-mbps": 550000.0, "moves": true,
			"backups": true, "stride": 5, "most": 2, "pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 5.0,
			"models": []any{map[string]any{"name": "m"}}}}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/health", "max-connections": 110, "protocol": "h1", "tls": false}
}

// key is the API key of the only tenant.
const key = "n2ctnfzs989anu6wsjnb"

func configuration(version int, routes []route, services ...map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []any{key}, "priority": 1}}}
}
