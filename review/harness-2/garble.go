package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	garbleTime    = 30 * time.Second
	garbleClients = 24
	garbleWorkers = 3
	// garbledShare of the workers send additional bytes after garbledPart of their answers.
	garbledShare = 0.6
	garbledPart  = 0.05
	// failedPart is the part of the lookups, and failedConfirms that of the confirmations,
	// that a sound worker answers with a failure.
	failedPart     = 0.14
	failedConfirms = 0.004
	// longestStub bounds the additional bytes.
	longestStub = 40
)

// given is the status that a worker gave to an attempt.
type given struct {
	worker string
	status int
}

// garbler stands in for a worker that answers each request, and sends additional bytes
// after some of its complete answers: the beginning of one of these answers. The bytes
// arrive where the answer to the next request on the connection is expected.
type garbler struct {
	id     string
	faulty bool

	mu    *sync.Mutex
	given map[string][]given
	stubs *int
}

func (g *garbler) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go g.serveConn(conn)
	}
}

func (g *garbler) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	stub := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if stub != "" {
			g.mu.Lock()
			*g.stubs++
			g.mu.Unlock()
			if _, err := io.WriteString(conn, stub); err != nil {
				return
			}
			stub = ""
		}
		text := g.answer(request)
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		if g.faulty && rand.Float64() < garbledPart {
			stub = text[:1+rand.IntN(longestStub)]
		}
	}
}

// answer runs a request and returns its answer.
func (g *garbler) answer(r *http.Request) string {
	attempt := r.Header.Get("Godwitmoor-Attempt-Id")
	if expected := r.Header.Get("Godwitmoor-Expect-Instance"); expected != "" && expected != g.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nGodwitmoor-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt)
	}
	time.Sleep(5*time.Millisecond + rand.N(20*time.Millisecond))
	failing := failedPart
	if r.Method == http.MethodPost {
		failing = failedConfirms
	}
	status, text, body := http.StatusOK, "OK", answerOf(g.id, attempt)
	if rand.Float64() < failing {
		status, text, body = http.StatusInternalServerError, "Internal Server Error", "the order ledger failed"
	}
	g.mu.Lock()
	g.given[attempt] = append(g.given[attempt], given{worker: g.id, status: status})
	g.mu.Unlock()
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nGodwitmoor-Attempt-Id: %s\r\nGodwitmoor-Server-Stamp: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s",
		status, text, attempt, stampOf(g.id, attempt), len(body), body)
}

// playGarble lets workers send additional bytes after complete answers, and checks that
// each client gets the status that the worker gave to its own request.
func playGarble(s *scene) (string, error) {
	st := newStore()
	l, err := listen()
	if err != nil {
		return "", err
	}
	go st.serve(l)
	var mu sync.Mutex
	all, stubs := map[string][]given{}, 0
	for i := range garbleWorkers {
		wl, err := listen()
		if err != nil {
			return "", err
		}
		g := &garbler{id: fmt.Sprintf("w-%d", i+1), mu: &mu, given: all, stubs: &stubs}
		g.faulty = s.trouble && float64(i+1) <= garbledShare*garbleWorkers+0.5
		go g.serve(wl)
		st.set("servers/"+g.id, newWorker(g.id, 6, 0, nil).entry(serviceName, wl.Addr().String(), time.Now()))
	}
	st.set("op/config", configuration(1, deskRoutes(), []map[string]any{application(serviceName)}, []string{apiKey}))
	nodes, err := s.newNodes(3, l.Addr().String())
	if err != nil {
		return "", err
	}
	if err := startAll(nodes); err != nil {
		return "", err
	}
	defer stopAll(nodes)
	time.Sleep(stableWindow)
	got := map[string]answer{}
	end := time.Now().Add(garbleTime)
	var done sync.WaitGroup
	for i := range garbleClients {
		done.Add(1)
		go func() {
			defer done.Done()
			address := nodes[i%len(nodes)].fields.front
			var c *client
			for k := 0; time.Now().Before(end); k++ {
				if c == nil {
					if c, _ = dial(address); c == nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				method, path, body := http.MethodGet, "/lookup/1", ""
				if k%5 == 0 {
					method, path, body = http.MethodPost, "/confirm/1", "a tray"
				}
				attempt := fmt.Sprintf("c%d-%d", i, k)
				a := c.call(method, path, attempt, apiKey, body, 1500*time.Millisecond)
				mu.Lock()
				got[attempt] = a
				mu.Unlock()
				if a.err != nil || a.closes {
					c.close()
					c = nil
				}
				time.Sleep(rand.N(20 * time.Millisecond))
			}
		}()
	}
	done.Wait()
	mu.Lock()
	defer mu.Unlock()
	s.note("%d requests, additional bytes %d times", len(got), stubs)
	mixed := 0
	for attempt, a := range got {
		if a.err != nil || a.stamp == "" {
			continue
		}
		worker, _, _ := strings.Cut(a.stamp, ".")
		if !slices.Contains(all[attempt], given{worker: worker, status: a.status}) {
			mixed++
			s.note("%s: the workers gave %v, the client got %v", attempt, all[attempt], a)
		}
	}
	if mixed > 0 {
		return fmt.Sprintf("%d clients got another status than the worker gave that signed the answer", mixed), nil
	}
	return "", nil
}
