// Package fleet starts the programs of a deployment as processes on loopback and
// stops them, signalling only the processes that it started.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	killAfter       = 20 * time.Second
	pollInterval    = 20 * time.Millisecond
	dialTimeout     = 200 * time.Millisecond
	startTimeout    = 15 * time.Second
	firstPort       = 10_000
	portCount       = 20_000
	maxPortAttempts = 2 * portCount
)

// nextPort counts through the ports, starting at a random one, so that successive
// runs do not use the same ports.
var nextPort = func() *atomic.Int64 {
	var next atomic.Int64
	next.Store(rand.Int64N(portCount))
	return &next
}()

// Process is a process started by a Fleet.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Fleet starts processes and keeps track of them, so that Stop can end them all.
type Fleet struct {
	bin string
	out string

	mu        sync.Mutex
	processes []*Process
}

// New returns a fleet that runs the programs in the folder bin and writes its
// files to the folder out.
func New(bin, out string) *Fleet { return &Fleet{bin: bin, out: out} }

// Path returns the path of a file in the fleet's output folder.
func (f *Fleet) Path(name string) string { return filepath.Join(f.out, name) }

// Program returns the path of a program.
func (f *Fleet) Program(name string) string { return filepath.Join(f.bin, name) }

// Start starts a program as the process name. Its output goes to the file name.log
// in the output folder.
func (f *Fleet) Start(name, program string, args ...string) (*Process, error) {
	out, err := os.Create(f.Path(name + ".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create a log file")
	}
	p := &Process{Name: name, cmd: exec.Command(f.Program(program), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		_ = out.Close()
		return nil, errors.Wrapf(err, "start %s", name)
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	go p.run(out)
	return p, nil
}

func (p *Process) run(out *os.File) {
	p.err = p.cmd.Wait()
	_ = out.Close()
	close(p.done)
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Wait waits until the process has ended and returns the error with which it
// exited, or an error if it is still running after the timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return errors.Newf("%s has not ended after %v", p.Name, timeout)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Stop ends all processes: it sends them SIGTERM, and SIGKILL to each that is still
// running after killAfter.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if !p.Ended() {
			// A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
			_ = p.Signal(syscall.SIGCONT)
			_ = p.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range f.processes {
		if p.Wait(killAfter) != nil && !p.Ended() {
			_ = p.Signal(syscall.SIGKILL)
			<-p.done
		}
	}
}

// Addresses returns n different free loopback addresses. Their ports lie below the
// range that the system uses for outgoing connections, so that no such connection
// can occupy a port before the process that is to listen on it has started.
func Addresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range maxPortAttempts {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+int(nextPort.Add(1))%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return nil, errors.Newf("found only %d of %d free loopback addresses", len(addresses), n)
}

// AwaitListening waits until each address accepts connections.
func AwaitListening(addresses ...string) error {
	end := time.Now().Add(startTimeout)
	for _, address := range addresses {
		for {
			conn, err := net.DialTimeout("tcp", address, dialTimeout)
			if err == nil {
				_ = conn.Close()
				break
			}
			if time.Now().After(end) {
				return errors.Wrap(err, fmt.Sprintf("nothing listens on %s; see the log of the process that should", address))
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
