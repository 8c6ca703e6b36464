// Package fleet starts the parts of a deployment as processes on loopback and
// ends them, each by its own process.
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
	killAfter    = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	dialTimeout  = 200 * time.Millisecond
	startTimeout = 15 * time.Second
	leastPort    = 10_000
	portCount    = 20_000
	portTries    = 2 * portCount
)

// nextPort goes through the ports from a random one on, so that runs that follow
// each other do not meet.
var nextPort = func() *atomic.Int64 {
	var next atomic.Int64
	next.Store(rand.Int64N(portCount))
	return &next
}()

// Process is one started process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Fleet is the processes that were started.
type Fleet struct {
	bin string
	out string

	mu        sync.Mutex
	processes []*Process
}

// New makes a fleet of the programs in bin, with output files in out.
func New(bin, out string) *Fleet { return &Fleet{bin: bin, out: out} }

// Path gives a file of the fleet's output folder.
func (f *Fleet) Path(name string) string { return filepath.Join(f.out, name) }

// Program gives the path of one of the programs.
func (f *Fleet) Program(name string) string { return filepath.Join(f.bin, name) }

// Start starts a program; what it prints goes to a file of the process's name.
func (f *Fleet) Start(name, program string, args ...string) (*Process, error) {
	out, err := os.Create(f.Path(name + ".log"))
	if err != nil {
		return nil, errors.Wrap(err, "make a log file")
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

// Pid gives the process's number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "signal %s", p.Name)
}

// Wait waits for the process's end and gives its error.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return errors.Newf("%s has not ended after %v", p.Name, timeout)
	}
}

// Ended tells whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Stop ends all processes: asked first, killed if they do not end.
func (f *Fleet) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		if !p.Ended() {
			// A frozen process takes the other signal only after this one.
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

// Addresses gives n free loopback addresses, all different. They lie below the
// range from which the system takes ports for outgoing connections, so that none
// of those takes one before its process listens.
func Addresses(n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range portTries {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("127.0.0.1:%d", leastPort+int(nextPort.Add(1))%portCount)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return nil, errors.Newf("found %d free addresses where %d are needed", len(addresses), n)
}

// AwaitListening waits until something listens on each address.
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
				return errors.Wrap(err, fmt.Sprintf("nothing listens on %s", address))
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
