//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/loopback"
	"github.com/poplarwheel/poplarwheel/platform/platformtest"
)

// Ports of every daemon, as in the example of the platform's pages, or above these if they aren't free.
var (
	frontPort     = 8381
	directoryPort = 8383
	readyPort     = 8388
	innerPort     = 7200
)

const (
	// portStep and portTries bound the search for free ports.
	portStep, portTries = 20, 50
	// probeHost is the host of the subnet at which ports are tried.
	probeHost = 250
)

// chooseFreePorts raises the ports of the daemons until all of them are free.
func chooseFreePorts(subnet *loopback.Subnet) error {
	for range portTries {
		if portsAreFree(subnet.Host(probeHost)) {
			return nil
		}
		frontPort += portStep
		directoryPort += portStep
		readyPort += portStep
		innerPort += portStep
	}
	return errors.New("no free ports")
}

func portsAreFree(ip string) bool {
	for _, port := range []int{frontPort, directoryPort, readyPort, innerPort} {
		listener, err := net.Listen("tcp4", net.JoinHostPort(ip, fmt.Sprint(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	datagrams, err := net.ListenPacket("udp4", net.JoinHostPort(ip, fmt.Sprint(innerPort)))
	if err != nil {
		return false
	}
	_ = datagrams.Close()
	return true
}

// callerHost is the host name of all routes.
const callerHost = "jepu9.example"

// bounds are those of the installation swanbrook-gw.
var bounds = map[string]any{
	"seedLagS": 3, "addrReuseS": 2, "stableWindowS": 3, "ackS": 4, "catchUpS": 4, "drainS": 2, keyGrace: 6,
	"lossSlackS": 0.2, "configApplyS": 2, "regressionWindowS": 0.25, "maxStretchS": 5, keyBudgetRatio: 0.2,
	"budgetWindowS": 10, keyBudgetExtra: 56, "recoveryS": 15, "ttl_max_s": 5, "probesPerS": 60,
}

// run is one run of a case.
type run struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	began   time.Time
	dir     string
	subnet  *loopback.Subnet
	store   *platformtest.Store
	daemons []*daemon
	servers []*server
	// tenants is the list of tenants in the configurations, nil without any.
	tenants []any

	mu     sync.Mutex
	record *os.File
	// broken counts the breaches of the rule.
	broken int
}

func newRun(folder string, trouble bool) (*run, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	subnet, err := loopback.Reserve()
	if err != nil {
		return nil, err
	}
	if err := chooseFreePorts(subnet); err != nil {
		return nil, err
	}
	r := &run{trouble: trouble, began: time.Now(), dir: dir, subnet: subnet, record: record}
	if r.store, err = platformtest.NewStore(net.JoinHostPort(subnet.Host(1), "0")); err != nil {
		return nil, err
	}
	r.logf("disruption: %v", trouble)
	return r, nil
}

// close ends all that the run has started.
func (r *run) close() {
	for _, d := range r.daemons {
		d.kill()
		d.store.close()
	}
	for _, s := range r.servers {
		s.close()
	}
	r.store.Close()
	_ = r.subnet.Release()
	_ = os.RemoveAll(r.dir)
}

// logf writes a line to the record, with the seconds since the start of the run.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that the rule was broken.
func (r *run) breach(format string, args ...any) {
	r.logf("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// since returns the seconds from the start of the run to a time.
func (r *run) since(at time.Time) float64 { return at.Sub(r.began).Seconds() }

// daemon is a gateway daemon with a path of its own to the store.
type daemon struct {
	run            *run
	name, zone, ip string
	processorShare float64
	store          *proxy
	settingsPath   string
	command        *exec.Cmd
	ended          chan struct{}
	zones          []string
}

// addDaemon prepares a daemon. The host is the last byte of its address.
func (r *run) addDaemon(name, zone string, zones []string, host int, processorShare float64) (*daemon, error) {
	p, err := newProxy(r.subnet.Host(2), r.store.Address())
	if err != nil {
		return nil, err
	}
	d := &daemon{run: r, name: name, zone: zone, zones: zones, ip: r.subnet.Host(host), processorShare: processorShare, store: p}
	d.settingsPath = filepath.Join(r.dir, name+".json")
	r.daemons = append(r.daemons, d)
	return d, nil
}

func (d *daemon) at(port int) string { return net.JoinHostPort(d.ip, fmt.Sprint(port)) }

// start starts the daemon with the command of the deploy file.
func (d *daemon) start() error {
	zones := map[string]string{}
	for _, zone := range d.zones {
		zones[zone] = "wa-perth"
	}
	settings, err := json.Marshal(map[string]any{
		"name": d.name, "ip": d.ip, "region": "wa-perth", "zone": d.zone, "zones": zones,
		"front": d.at(frontPort), "directory": d.at(directoryPort), "ready": d.at(readyPort),
		"peer_ports": []int{innerPort, innerPort + 15}, "peer_key": "review", "store": d.store.address(),
		"bounds": bounds, "log_level": "info", "entry_set": 1,
		"processor_share": d.processorShare, "processor_speed": 1, "link_mbps": 1000, "max_files": 4100, "memory_mb": 284,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.settingsPath, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.run.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command("target/poplarwheel", "gateway")
	d.command.Env = append(os.Environ(), bootVariable+"="+d.settingsPath)
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}(d.command, d.ended)
	return nil
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.run.logf("signal %v to %s", s, d.name)
	_ = d.command.Process.Signal(s)
}

// kill ends the daemon's process, if it runs.
func (d *daemon) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Signal(syscall.SIGCONT)
	_ = d.command.Process.Kill()
	<-d.ended
}

// ready reports whether the daemon says that it is ready.
func (d *daemon) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.at(readyPort) + readyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all daemons at the same time and waits until they are ready.
func (r *run) startAll() error {
	for _, d := range r.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if err := await(20*time.Second, d.ready); err != nil {
			return fmt.Errorf("%s doesn't become ready: %w", d.name, err)
		}
	}
	r.logf("all daemons are ready")
	return nil
}

var errTimeout = errors.New("it took too long")

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return errTimeout
}

// routeOf is a route of the configuration.
type routeOf struct {
	name, prefix, kind, service string
	timeoutS, latencyS          float64
}

// putConfig writes a version of the configuration, as the operator does. It returns when the store
// has confirmed it.
func (r *run) putConfig(version int, routes []routeOf, services []string) (time.Time, error) {
	encoded := []any{}
	for _, route := range routes {
		encoded = append(encoded, map[string]any{
			"name": route.name, "host": callerHost, keyPathPrefix: route.prefix, "kind": route.kind, "service": route.service,
			keyTimeout: route.timeoutS, keyLatency: route.latencyS, "priority": 1, keyMaxAttempts: 2,
		})
	}
	listed := []any{}
	for _, service := range services {
		listed = append(listed, map[string]any{"name": service, keyHealthPath: "/health", keyMaxConns: 220, "protocol": "h1", "tls": false})
	}
	config := map[string]any{
		"version": fmt.Sprint("r", version), "routes": encoded, "services": listed,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutS": 5, "idleTimeoutS": 10},
	}
	if r.tenants != nil {
		config[keyWorkspaces] = r.tenants
	}
	err := r.store.Put("config", "main", config)
	r.logf("configuration r%d confirmed", version)
	return time.Now(), err
}

// resolve asks the daemon's directory where to connect.
func (d *daemon) resolve(zone string) ([]string, error) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.at(directoryPort) + directoryPath + "?name=" + callerHost + "&region=wa-perth&zone=" + zone)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var found struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(response.Body).Decode(&found)
	return found.Addresses, err
}
