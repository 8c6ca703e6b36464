// Package fleet starts the daemon as the deploy file says, on loopback addresses.
package fleet

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	program  = "target/godwitmoord"
	template = "deploy/settings.jsonc"
)

// zones are the zones of the sheet.
var zones = []string{"taipei-a", "taipei-b", "taipei-c"}

// Host is one machine and its process.
type Host struct {
	Name, Front, Readiness, Control string
	status                          int
	zone                            string
	command                         *exec.Cmd
	exited                          chan struct{}
}

// Fleet is a small deployment.
type Fleet struct {
	Hosts []*Host
	// root is the root of the repository, folder that of the settings and the logs.
	root, folder, store string
	// ip is the loopback address of all hosts.
	ip    string
	first bool
}

// New returns a fleet of the given size in three zones that is not started; its machines
// have the names of the sheet's. Root is the root of the repository, store the address of
// the platform's store.
func New(root, folder, store string, size int) (*Fleet, error) {
	f := &Fleet{root: root, folder: folder, store: store, first: true}
	f.ip = ownAddress()
	last := 0
	for n := range size {
		ports, err := freePorts(f.ip, 4, last)
		if err != nil {
			return nil, err
		}
		last = ports[len(ports)-1]
		address := func(i int) string { return f.ip + ":" + strconv.Itoa(ports[i]) }
		f.Hosts = append(f.Hosts, &Host{
			Name: fmt.Sprintf("edge-%s-%d", zones[n%len(zones)], n/len(zones)+1), zone: zones[n%len(zones)],
			Front: address(0), Readiness: address(1), Control: address(2), status: ports[3],
		})
	}
	return f, nil
}

// Start starts all hosts and waits until they are ready.
func (f *Fleet) Start() error {
	for _, h := range f.Hosts {
		if err := f.StartHost(h); err != nil {
			return err
		}
	}
	f.first = false
	for _, h := range f.Hosts {
		if err := h.AwaitReady(20 * time.Second); err != nil {
			return fmt.Errorf("%w; %s", err, f.lastLine(h))
		}
	}
	return nil
}

// lastLine says whether a host's process runs, and returns the last line of its log.
func (f *Fleet) lastLine(h *Host) string {
	state := "its process runs"
	select {
	case <-h.exited:
		state = "its process has ended"
	default:
	}
	log, err := os.ReadFile(filepath.Join(f.folder, h.Name+".log"))
	if err != nil {
		return state
	}
	lines := strings.Split(strings.TrimSpace(string(log)), "\n")
	return fmt.Sprintf("%s; last line of its log: %s", state, lines[len(lines)-1])
}

// StartHost starts the process of one host.
func (f *Fleet) StartHost(h *Host) error {
	settings := filepath.Join(f.folder, h.Name+".json")
	text, err := f.settings(h)
	if err != nil {
		return err
	}
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.folder, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.command = exec.Command(filepath.Join(f.root, program), "--settings", settings)
	h.command.Dir, h.command.Stdout, h.command.Stderr = f.root, log, log
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GODWITMOOR_BOOT=" + settings}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go h.run(h.command, h.exited)
	return nil
}

// run waits for the end of the process.
func (h *Host) run(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait()
	close(exited)
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) { _ = h.command.Process.Signal(signal) }

// Exited is closed once the process has ended.
func (h *Host) Exited() <-chan struct{} { return h.exited }

// Stop kills all processes that still run.
func (f *Fleet) Stop() {
	for _, h := range f.Hosts {
		if h.command == nil {
			continue
		}
		h.Signal(syscall.SIGKILL)
		<-h.exited
	}
}

// AwaitReady waits until the host says that it is ready, as the balancer asks.
func (h *Host) AwaitReady(longest time.Duration) error {
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if h.Ready() {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready in %v", h.Name, longest)
}

// Ready reports whether the host says that it is ready.
func (h *Host) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.Readiness + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)

// settings fills in the template of the deploy file.
func (f *Fleet) settings(h *Host) (string, error) {
	text, err := os.ReadFile(filepath.Join(f.root, template))
	if err != nil {
		return "", err
	}
	seeds := []string{}
	for _, other := range f.Hosts[:min(3, len(f.Hosts))] {
		seeds = append(seeds, other.Control)
	}
	values := map[string]any{
		"NodeName": h.Name, "Zone": h.zone, "Ip": f.ip, "Listen.Front": h.Front, "Listen.Control": h.Control, "Listen.Readiness": h.Readiness,
		"InternalPorts.0": h.status, "Limits.CpuShare": 0.4, "Limits.Cores": 1, "Platform.Address": f.store, "Seeds": seeds, "FirstStart": f.first,
		"Bounds.RevokeMs": 5000, "Bounds.DrainMs": 2000, "Bounds.GraceS": 8, "Bounds.RetryBudgetRatio": 0.2, "Bounds.RetrySlack": 58,
		"Bounds.BudgetWindowS": 10, "Bounds.QuotaWindowS": 8, "Bounds.QuotaOvershoot": 0.1, "Bounds.QuotaSlack": 140000,
	}
	unknown := ""
	filled := placeholder.ReplaceAllStringFunc(string(text), func(match string) string {
		name := strings.TrimSuffix(strings.Trim(match, "{}"), "|json")
		value, known := values[name]
		if !known {
			unknown = name
		}
		if written, isText := value.(string); isText && !strings.HasSuffix(match, "|json}}") {
			return written
		}
		data, _ := json.Marshal(value) // plain values
		return string(data)
	})
	if unknown != "" {
		return "", fmt.Errorf("the template uses %s, which the harness does not know", unknown)
	}
	return filled, nil
}

// ownAddress returns a loopback address that other runs at the same time don't use.
func ownAddress() string {
	const lowest, count = 2, 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1", lowest+pid/count%count, lowest+pid%count)
}

// firstPort and lastPort bound the ports of hosts. They lie below those that connections
// get from the system: one of these could take the port of a host that isn't up yet.
const (
	firstPort = 20000
	lastPort  = 30000
)

// freePorts returns ports of an address that nothing listens on, after the given one.
func freePorts(ip string, count, after int) ([]int, error) {
	var ports []int
	for port := max(firstPort, after+1); port <= lastPort; port++ {
		listener, err := net.Listen("tcp", ip+":"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		listener.Close()
		if ports = append(ports, port); len(ports) == count {
			return ports, nil
		}
	}
	return nil, fmt.Errorf("%s has no %d free ports", ip, count)
}

// MemoryMB returns the resident memory of the process in MB; zero if it has ended.
func (h *Host) MemoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(text), "VmRSS:")
	kilobytes := 0
	if !found {
		return 0
	}
	_, _ = fmt.Sscan(rest, &kilobytes)
	return kilobytes / 1024
}
