package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	bodyCrowd = 1600
	bodyTime  = 20 * time.Second
	// bodyBytes is the length of each body of the crowd, of which bodyPiece is sent each
	// second.
	bodyBytes = 64 << 10
	bodyPiece = 2 << 10
	// tryingClients is how many ordinary clients open connections, tryPause how long each
	// pauses between two.
	tryingClients = 8
	tryPause      = 100 * time.Millisecond
)

// upload sends bodies of legal size until the end, in pieces or, if quick, at once.
func upload(address, name string, quick bool, end time.Time, done *sync.WaitGroup) {
	defer done.Done()
	for k := 0; time.Now().Before(end); k++ {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			sendUpload(conn, fmt.Sprintf("%s-%d", name, k), quick, end)
			conn.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func sendUpload(conn net.Conn, attempt string, quick bool, end time.Time) {
	head := headOf(http.MethodPost, "/lookup/1", attempt, apiKey, 9*time.Second)
	_ = conn.SetDeadline(end)
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", head, bodyBytes)
	if quick {
		if _, err = io.WriteString(conn, strings.Repeat("x", bodyBytes)); err == nil {
			_, _ = io.Copy(io.Discard, conn)
		}
		return
	}
	for sent := 0; err == nil && sent < bodyBytes && time.Now().Before(end); sent += bodyPiece {
		_, err = io.WriteString(conn, strings.Repeat("x", bodyPiece))
		time.Sleep(time.Second)
	}
}

// tries counts what ordinary clients got on new connections.
type tries struct {
	mu sync.Mutex
	// last is when a connection was taken last, and longest the longest time without one.
	last         time.Time
	longest      time.Duration
	count, taken int
}

// add adds a try. A connection was taken if any answer came on it.
func (t *tries) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	t.longest = max(t.longest, time.Since(t.last))
	if a.status > 0 {
		t.taken++
		t.last = time.Now()
	}
}

// String describes the tries in a line.
func (t *tries) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("tries %d, taken %d, longest time without a connection that was taken %v", t.count, t.taken, t.longest.Round(time.Millisecond))
}

// playBodies lets a crowd of clients send bodies in pieces, and checks that the machine
// takes new connections meanwhile or says that it is not ready.
func playBodies(s *scene) (string, error) {
	nodes, _, err := s.desk(1)
	if err != nil {
		return "", err
	}
	defer stopAll(nodes)
	n := nodes[0]
	time.Sleep(stableWindow)
	end := time.Now().Add(bodyTime)
	var done sync.WaitGroup
	for i := range bodyCrowd {
		done.Add(1)
		go upload(n.fields.front, fmt.Sprintf("crowd-%d", i), !s.trouble, end, &done)
	}
	time.Sleep(time.Second)
	t := &tries{last: time.Now()}
	for i := range tryingClients {
		done.Add(1)
		go func() {
			defer done.Done()
			for k := 0; time.Now().Before(end); k++ {
				t.add(callOnce(n.fields.front, http.MethodGet, "/lookup/2", fmt.Sprintf("ordinary-%d-%d", i, k), apiKey, "", time.Second))
				time.Sleep(tryPause)
			}
		}()
	}
	alwaysReady := true
	for time.Now().Before(end) {
		ready := n.ready()
		alwaysReady = alwaysReady && ready
		memory, _ := n.memoryMiB()
		s.note("ready %t, %d MiB, %d descriptors; %v", ready, memory, n.descriptors(), t)
		time.Sleep(time.Second)
	}
	done.Wait()
	switch {
	case n.endStatus() != "":
		return "the process ended: " + n.endStatus(), nil
	case t.longest > stableWindow && alwaysReady:
		return fmt.Sprintf("no new connection was taken for %v, while %d clients tried and the machine said that it was ready", t.longest.Round(time.Millisecond), tryingClients), nil
	default:
		return "", nil
	}
}
