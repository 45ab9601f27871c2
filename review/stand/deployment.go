//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds are those of the site swanbrook-gw.
var Bounds = map[string]any{
	"seedLagS": 3, "addrReuseS": 2, "stableWindowS": 3, "ackS": 4, "catchUpS": 4, "drainS": 2, keyGrace: 6, "lossSlackS": 0.2,
	"configApplyS": 2, "regressionWindowS": 0.25, "maxStretchS": 5, keyBudgetRatio: 0.2, "budgetWindowS": 10,
	keyBudgetExtra: 56, "recoveryS": 15, "ttl_max_s": 5, "probesPerS": 60,
}

// MemoryMB is the memory of a machine of the site swanbrook-gw.
const MemoryMB = 284

// Gateway is a gateway process.
type Gateway struct {
	Name, IP, Zone, Front, Directory, Ready string
	Admin                                   int

	store, settings, log string
	mu                   sync.Mutex
	command              *exec.Cmd
	exited               chan struct{}
	state                string
}

// FreePort returns a free TCP port of an address.
func FreePort(ip string) int {
	listener, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// NewGateway writes the settings of a gateway. Start starts it.
func NewGateway(dir, name, ip, zone, store string) (*Gateway, error) {
	at := func() string { return fmt.Sprintf("%s:%d", ip, FreePort(ip)) }
	g := &Gateway{Name: name, IP: ip, Zone: zone, Front: at(), Directory: at(), Ready: at(), Admin: FreePort(ip), store: store,
		settings: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log")}
	peer := FreePort(ip)
	settings, err := json.MarshalIndent(map[string]any{
		"name": name, "ip": ip, "region": "r", "zone": zone, "zones": map[string]string{"z-a": "r"},
		"front": g.Front, "directory": g.Directory, "ready": g.Ready, "peer_ports": []int{peer, peer + 15}, "store": store,
		"bounds": Bounds, "log_level": "info", "admin_port": g.Admin, "processor_share": 0.32, "processor_speed": 1,
		"link_mbps": 1000, "max_files": 4100, "memory_mb": MemoryMB, "entry_set": 1,
	}, "", "  ")
	if err != nil {
		return nil, err
	}
	return g, os.WriteFile(g.settings, settings, 0o600)
}

// Start starts the process with the command of the deploy file. The working directory must be the
// repository's root.
func (g *Gateway) Start() error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/poplarwheel", "gateway")
	command.Env = []string{bootVariable + "=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.command, g.exited, g.state = command, exited, ""
	g.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		g.mu.Lock()
		g.state = command.ProcessState.String()
		g.mu.Unlock()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(signal syscall.Signal) { _ = g.command.Process.Signal(signal) }

// PID returns the process id.
func (g *Gateway) PID() int { return g.command.Process.Pid }

// Exited is closed when the process has ended.
func (g *Gateway) Exited() <-chan struct{} { return g.exited }

// State tells how the process has ended, or is empty.
func (g *Gateway) State() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// Kill ends the process if it runs.
func (g *Gateway) Kill() {
	if g.command == nil {
		return
	}
	g.Signal(syscall.SIGKILL)
	<-g.exited
}

// LogText returns what the process has written.
func (g *Gateway) LogText() string {
	text, _ := os.ReadFile(g.log)
	return string(text)
}

// AwaitReady waits until the process says that it is ready.
func (g *Gateway) AwaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + g.Ready + readinessPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Limits are those that the store's page shows for the site.
var Limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}

// Route returns a route of the configuration.
func Route(name, prefix, kind, service string, timeoutS, aimS float64) map[string]any {
	return map[string]any{"name": name, "host": Host, keyPathPrefix: prefix, "kind": kind, keyTimeout: timeoutS,
		keyLatency: aimS, "priority": 1, "service": service, keyMaxAttempts: 2}
}

// Host is the host of all routes.
const Host = "jepu9.example"

// Config returns a configuration.
func Config(version int, routes []any, services ...string) map[string]any {
	var list []any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, keyHealthPath: "/health", keyMaxConns: 220, "protocol": "h1", "tls": false})
	}
	return map[string]any{"version": fmt.Sprint("r", version), "routes": routes, "services": list, "limits": Limits}
}
