package app_test

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/budget"
	"godwitmoor.example/platform/platformtest"
)

const (
	// testMemoryMiB and testDescriptors are the bounds of the daemon's process in these
	// tests. They are below what each crowd needs if nothing is bounded.
	testMemoryMiB   = 96
	testDescriptors = 256
	// manyDescriptors lets so many clients connect that what each may hold matters.
	manyDescriptors = 1024
	// crowdQuota is more tokens a second than the requests of a crowd count: the ordinary
	// caller has the same key.
	crowdQuota = 1 << 30
	// testBodyBytes is the largest body that a service accepts.
	testBodyBytes = 4 << 20
	// missingBytes is how much of its body a client does not send.
	missingBytes = 64 << 10
	// crowdTime is how long the clients misbehave.
	crowdTime = 4 * time.Second
	// reconnectPause is how long a client waits before it connects again.
	reconnectPause = 50 * time.Millisecond
)

// boundedHost is a daemon in a process of its own, in front of one worker.
type boundedHost struct {
	is           *is.I
	process      *exec.Cmd
	exited       chan struct{}
	frontAddress string
}

// buildDaemon builds the daemon's program. It has no race detector, which would multiply
// the memory of the process.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "godwitmoord")
	output, err := exec.Command("go", "build", "-o", program, "godwitmoor.example/godwitmoord").CombinedOutput()
	if err != nil {
		t.Fatalf("build the daemon: %v: %s", err, output)
	}
	return program
}

// startBoundedHost starts a daemon with the bounds of these tests, which may have so many
// descriptors, and waits until it is ready.
func startBoundedHost(t *testing.T, program string, descriptors int) *boundedHost {
	t.Helper()
	h := &boundedHost{is: is.New(t), exited: make(chan struct{}), frontAddress: freeAddress(t)}
	worker := httptest.NewServer(&platformtest.Worker{ID: "desk-1"})
	t.Cleanup(worker.Close)
	store := platformtest.NewStore()
	store.SetConfiguration(platformtest.Configuration{
		Version: 1, Host: "shop.example", Services: []string{"desk"}, Tenant: "tower", Keys: []string{"good-key"}, MaxBodyBytes: testBodyBytes, Quota: crowdQuota,
		Routes: []platformtest.Route{{Name: "lookup", Kind: "safe", Service: "desk", Timeout: 5 * time.Second}},
	})
	store.SetWorker("desk-1", "desk", strings.TrimPrefix(worker.URL, "http://"), false)
	standin := httptest.NewServer(store)
	t.Cleanup(standin.Close)
	readiness := freeAddress(t)
	file := filepath.Join(t.TempDir(), "host.jsonc")
	text := fmt.Sprintf(`{"name": "entry-1", "data-centre": "a", "listen": "%s", "peer-listen": "%s", "status-listen": "%s",
		"heartbeat": "50ms", "dead-after": "400ms", "stop-notice": "10ms", "memory": %d, "descriptors": %d,
		"platform": {"store": "%s", "readiness": "%s", "hosts": [], "key-revocation": "5s", "stop-grace": "2s", "terms": ["pressure"],
			"repeat-ratio": 0.2, "repeat-slack": 50, "repeat-window": "10s", "first-start": true, "quota-window": "8s"}}`,
		h.frontAddress, freeAddress(t), freeAddress(t), testMemoryMiB, descriptors, strings.TrimPrefix(standin.URL, "http://"), readiness)
	h.is.NoErr(os.WriteFile(file, []byte(text), 0o600))
	h.process = exec.Command(program, "--settings", file)
	h.process.Stderr = os.Stderr
	h.is.NoErr(h.process.Start())
	go h.run()
	t.Cleanup(h.stop)
	for end := time.Now().Add(waitTimeout); readinessStatusAt(readiness) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if !h.lives() || time.Now().After(end) {
			t.Fatal("the daemon did not get ready")
		}
	}
	return h
}

// run waits until the process has ended.
func (h *boundedHost) run() {
	_ = h.process.Wait()
	close(h.exited)
}

func (h *boundedHost) lives() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func (h *boundedHost) stop() {
	_ = h.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.exited:
	case <-time.After(waitTimeout):
		_ = h.process.Process.Kill()
	}
}

// peakMemory returns the most memory that the process had, in bytes.
func (h *boundedHost) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	h.is.NoErr(err)
	_, after, found := strings.Cut(string(status), "VmHWM:")
	h.is.True(found)
	kilobytes, err := strconv.Atoi(strings.Fields(after)[0])
	h.is.NoErr(err)
	return kilobytes << 10
}

// openDescriptors returns the number of the process's open descriptors.
func (h *boundedHost) openDescriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.process.Process.Pid))
	h.is.NoErr(err)
	return len(entries)
}

// misbehaviour is a form of clients that use up what a host has.
type misbehaviour struct {
	name    string
	clients int
	// descriptors is what the host may have open; zero means testDescriptors.
	descriptors int
	// again is set if the clients connect again when their connection has ended.
	again bool
	// send writes to the host until it has sent what it wants to, or an error.
	send func(w io.Writer) error
}

// crowdClient is one of many clients that misbehave at once.
type crowdClient struct {
	host *boundedHost
	form misbehaviour
	end  time.Time
}

// run misbehaves until the end.
func (c *crowdClient) run() {
	c.connect()
	for c.form.again && time.Now().Before(c.end) {
		time.Sleep(reconnectPause)
		c.connect()
	}
}

// connect sends and then keeps the connection open until the end.
func (c *crowdClient) connect() {
	conn, err := net.Dial("tcp", c.host.frontAddress)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(c.end)
	if c.form.send(conn) == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// requestLines begin a request of a client with a valid key.
func requestLines(more string) string {
	return "POST /lookup/7 HTTP/1.1\r\nHost: shop.example\r\nX-Api-Key: good-key\r\nGodwitmoor-Deadline-Ms: 9000\r\n" +
		"Godwitmoor-Attempt-Id: " + uuid.NewString() + "\r\n" + more
}

// sendAll writes text and then data, until it has written length bytes of it.
func sendAll(w io.Writer, text string, data []byte, length int) error {
	if _, err := io.WriteString(w, text); err != nil {
		return err
	}
	for length > 0 {
		n, err := w.Write(data[:min(len(data), length)])
		if err != nil {
			return err
		}
		length -= n
	}
	return nil
}

// endless is more than a client can send while it misbehaves.
const endless = 1 << 40

func misbehaviours() []misbehaviour {
	piece := bytes.Repeat([]byte("x"), 16<<10)
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
	byteChunk := []byte("1\r\nx\r\n")
	byteChunks := bytes.Repeat(byteChunk, 10<<10)
	const sent = testBodyBytes - missingBytes
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	return []misbehaviour{
		{name: "heads over the limit", clients: 100, send: func(w io.Writer) error {
			return sendAll(w, requestLines(""), bytes.Repeat([]byte("a: b\r\n"), 1000), 64<<10)
		}},
		{name: "heads without end", clients: 400, send: func(w io.Writer) error {
			return sendAll(w, requestLines(""), []byte("a: b\r\n"), 600)
		}},
		{name: "empty lines without end", clients: 100, send: func(w io.Writer) error {
			return sendAll(w, "", bytes.Repeat([]byte("\r\n"), 4<<10), endless)
		}},
		{name: "bodies by length", clients: 48, send: func(w io.Writer) error {
			return sendAll(w, requestLines(fmt.Sprintf("Content-Length: %d\r\n\r\n", testBodyBytes)), piece, sent)
		}},
		{name: "bodies in large chunks", clients: 48, send: func(w io.Writer) error {
			return sendAll(w, requestLines(chunked), chunk, sent/len(piece)*len(chunk))
		}},
		{name: "bodies in chunks of one byte", clients: 48, send: func(w io.Writer) error {
			return sendAll(w, requestLines(chunked), byteChunks, sent*len(byteChunk))
		}},
	}
}

// crowd is the clients of one or more forms, at one host.
type crowd struct {
	host    *boundedHost
	end     time.Time
	clients sync.WaitGroup
	// mostDescriptors is the most descriptors that the host was seen to have open.
	mostDescriptors int
}

// startCrowd starts the clients of all forms at once.
func startCrowd(h *boundedHost, forms []misbehaviour, duration time.Duration) *crowd {
	c := &crowd{host: h, end: time.Now().Add(duration)}
	for _, form := range forms {
		for range form.clients {
			client := &crowdClient{host: h, form: form, end: c.end}
			c.clients.Go(client.run)
		}
	}
	return c
}

// wait waits until the clients have ended or the host has.
func (c *crowd) wait() {
	for time.Now().Before(c.end) && c.host.lives() {
		c.mostDescriptors = max(c.mostDescriptors, c.host.openDescriptors())
		time.Sleep(50 * time.Millisecond)
	}
	c.clients.Wait()
}

// checkBounds checks that the host lives, that it stayed within its bounds, and that it
// answers one ordinary request.
func (c *crowd) checkBounds(t *testing.T, descriptors int) {
	t.Helper()
	h := c.host
	h.is.True(h.lives())
	peak := h.peakMemory()
	t.Logf("peak memory %d KiB, most open descriptors %d", peak>>10, c.mostDescriptors)
	answer := platformtest.Call(h.frontAddress, "shop.example", "/lookup/7", "good-key", uuid.NewString())
	h.is.NoErr(answer.Err)
	h.is.Equal(answer.Status, http.StatusOK)
	h.is.True(peak <= testMemoryMiB<<20)
	h.is.True(c.mostDescriptors <= descriptors)
}

// Clients outside the operators' control exhausted the memory or the descriptors of a
// host, and the process was ended.
func TestHostStaysWithinItsBoundsAndServesAfterClientsMisbehaved(t *testing.T) {
	program := buildDaemon(t)
	for _, form := range append(misbehaviours(), manyFieldForms()...) {
		t.Run(form.name, func(t *testing.T) {
			descriptors := cmp.Or(form.descriptors, testDescriptors)
			c := startCrowd(startBoundedHost(t, program, descriptors), []misbehaviour{form}, crowdTime)
			c.wait()
			c.checkBounds(t, descriptors)
		})
	}
}

// A host that withstands each form of clients alone may not withstand all at once.
func TestHostStaysWithinItsBoundsAndServesAfterAllFormsAtOnce(t *testing.T) {
	forms := append(append(misbehaviours(), manyFieldForms()...), slowBodies())
	for i := range forms {
		forms[i].clients = max(forms[i].clients/mixedDivisor, minMixedClients)
		forms[i].again = true
	}
	c := startCrowd(startBoundedHost(t, buildDaemon(t), manyDescriptors), forms, 2*crowdTime)
	c.wait()
	c.checkBounds(t, manyDescriptors)
}

// Slow bodies held all connections that callers may have open, and the host took no
// others for as long as their clients went on.
func TestOrdinaryCallerIsAnsweredWhileSlowBodiesHoldAllConnections(t *testing.T) {
	h := startBoundedHost(t, buildDaemon(t), testDescriptors)
	c := startCrowd(h, []misbehaviour{slowBodies()}, slowCrowdTime)
	held := budget.Connections(testDescriptors)
	for h.openDescriptors() < held {
		h.is.True(h.lives() && time.Now().Before(c.end)) // the crowd holds all connections
		time.Sleep(10 * time.Millisecond)
	}
	answered := false
	for !answered && h.lives() && time.Now().Before(c.end) {
		c.mostDescriptors = max(c.mostDescriptors, h.openDescriptors())
		answer := platformtest.Call(h.frontAddress, "shop.example", "/lookup/7", "good-key", uuid.NewString())
		answered = answer.Err == nil && answer.Status == http.StatusOK
		time.Sleep(reconnectPause)
	}
	h.is.True(answered) // while the crowd goes on
	c.wait()
	c.checkBounds(t, testDescriptors)
}
