package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Processes are processes of one binary. It is safe for concurrent use.
type Processes struct {
	binary string
	dir    string

	mu      sync.Mutex
	running map[string]*process
	// started are all processes, those included whose name was given again.
	started []*process
}

type process struct {
	command *exec.Cmd
	exited  chan struct{}
	// killed is set before the process is ended from here.
	killed atomic.Bool
}

// UnknownProcessError reports a name without a running process.
type UnknownProcessError struct{ Name string }

// Error implements error.
func (e *UnknownProcessError) Error() string {
	return fmt.Sprintf("fleet: no process %q is running", e.Name)
}

// NewProcesses returns none yet. Their output goes to files in dir.
func NewProcesses(binary, dir string) *Processes {
	return &Processes{binary: binary, dir: dir, running: map[string]*process{}}
}

// StartProcess starts the binary with args. Its output goes to NAME.log.
func (p *Processes) StartProcess(name string, args ...string) error {
	return p.StartProcessWith(name, nil, args...)
}

// StartProcessWith is StartProcess with more variables in the environment, as
// "NAME=value".
func (p *Processes) StartProcessWith(name string, environment []string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(p.binary, args...)
	command.Env = append(os.Environ(), environment...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return err
	}
	started := &process{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(started.exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[name] = started
	p.started = append(p.started, started)
	return nil
}

func (p *Processes) find(name string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.running[name]
	if found == nil {
		return nil, &UnknownProcessError{Name: name}
	}
	return found, nil
}

// Pid returns the process ID of a process, or 0.
func (p *Processes) Pid(name string) int {
	found, err := p.find(name)
	if err != nil {
		return 0
	}
	return found.command.Process.Pid
}

// Running reports whether a process has not exited.
func (p *Processes) Running(name string) bool {
	found, err := p.find(name)
	if err != nil {
		return false
	}
	select {
	case <-found.exited:
		return false
	default:
		return true
	}
}

// Signal sends a signal to a process. With SIGSTOP it returns once every thread of the
// process has stopped.
func (p *Processes) Signal(name string, signal syscall.Signal) error {
	found, err := p.find(name)
	if err != nil {
		return err
	}
	if err := found.command.Process.Signal(signal); err != nil {
		return err
	}
	if signal == syscall.SIGSTOP {
		return awaitStopped(found.command.Process.Pid)
	}
	return nil
}

// awaitStopped waits until every thread of a child process has stopped. The kernel stops
// threads only after the signal was sent, and they can still send and receive until then.
func awaitStopped(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// Kill ends a process at once and waits for it.
func (p *Processes) Kill(name string) error {
	found, err := p.find(name)
	if err != nil {
		return err
	}
	found.killed.Store(true)
	_ = found.command.Process.Kill()
	<-found.exited
	return nil
}

// AwaitExit waits until a process has exited.
func (p *Processes) AwaitExit(name string) error {
	return Await("exit of "+name, func() bool { return !p.Running(name) })
}

// Close kills every process.
func (p *Processes) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, started := range p.started {
		started.killed.Store(true)
		_ = started.command.Process.Kill()
		<-started.exited
	}
}

// Exited reports whether a process has exited on its own. One that Kill or Close
// has ended doesn't count.
func (p *Processes) Exited(name string) bool {
	found, err := p.find(name)
	if err != nil {
		return false
	}
	select {
	case <-found.exited:
		return !found.killed.Load()
	default:
		return false
	}
}
