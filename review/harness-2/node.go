package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is what the deploy file runs, and template the template of its settings.
const (
	program  = "target/godwitmoord"
	template = "deploy/settings.jsonc"
)

// node is one machine of the system: a process of the product.
type node struct {
	fields  nodeFields
	dir     string
	log     *os.File
	command *exec.Cmd

	mu    sync.Mutex
	ended chan struct{}
	// status is how the process ended; empty while it runs.
	status string
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	settings, err := render(string(text), n.fields.fields())
	if err != nil {
		return err
	}
	file := filepath.Join(n.dir, n.fields.name+".json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	if n.log == nil {
		if n.log, err = os.Create(filepath.Join(n.dir, n.fields.name+".log")); err != nil {
			return err
		}
	}
	command := exec.Command(program, "--settings", file)
	command.Stdout, command.Stderr = n.log, n.log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	// The process ends with the harness, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.command, n.ended, n.status = command, ended, ""
	n.mu.Unlock()
	go n.wait(command, ended)
	return nil
}

// wait records how the process ends.
func (n *node) wait(command *exec.Cmd, ended chan struct{}) {
	_ = command.Wait()
	n.mu.Lock()
	n.status = command.ProcessState.String()
	n.mu.Unlock()
	close(ended)
}

// endStatus returns how the process ended; empty while it runs.
func (n *node) endStatus() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (n *node) kill() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-n.ended
}

// ready asks as the balancer does.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.fields.readiness + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the process is ready.
func (n *node) awaitReady(longest time.Duration) error {
	for end := time.Now().Add(longest); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.endStatus() != "" {
			return fmt.Errorf("%s ended: %s: %s", n.fields.name, n.endStatus(), n.lastLogLine())
		}
		if n.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.fields.name, longest)
}

// lastLogLine returns the last line that the process wrote.
func (n *node) lastLogLine() string {
	text, err := os.ReadFile(n.log.Name())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

// memoryMiB returns the resident memory of the process now and at its peak, in MiB.
func (n *node) memoryMiB() (now, peak int) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.Atoi(fields[1])
		switch fields[0] {
		case "VmRSS:":
			now = kilobytes >> 10
		case "VmHWM:":
			peak = kilobytes >> 10
		}
	}
	return now, peak
}

// descriptors returns the number of open descriptors of the process.
func (n *node) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.command.Process.Pid))
	return len(entries)
}
