package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	unreadEngines = 3
	unreadSlots   = 4
	unreadClients = 16
	unreadTimeout = 5 * time.Second
	// The clients' connections have segments and windows like those of a network that is no
	// loopback.
	segmentBytes = 1400
	windowBytes  = 8 << 10
	// ordinaryCount is the number of ordinary requests afterwards, and ordinaryPause the
	// pause between two.
	ordinaryCount = 100
	ordinaryPause = 200 * time.Millisecond
	// finalSlack is how long after its route's TimeoutMs a request may have no final answer,
	// and allowedOpen how many requests may have none then.
	finalSlack  = 500 * time.Millisecond
	allowedOpen = 7
	// starved is how often a kind of request must be served, as a part of how often all are.
	starved = 0.25
)

// dialNarrow opens a connection with small segments and a small window.
func dialNarrow(address string) (net.Conn, error) {
	control := func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			if optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes); optionErr == nil {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			}
		})
		if err != nil {
			return err
		}
		return optionErr
	}
	return (&net.Dialer{Timeout: time.Second, Control: control}).Dial("tcp", address)
}

// unreadClient is a client that asks for a long stream and, unless it reads, does nothing
// more.
type unreadClient struct {
	conn net.Conn
	// ended is closed when the client has read its whole answer.
	ended chan struct{}
}

// run reads the answer.
func (c *unreadClient) run() {
	defer close(c.ended)
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// isOpen reports whether nothing shows the client that its request has ended: it has not
// read the answer, and its connection was not reset.
func (c *unreadClient) isOpen() bool {
	select {
	case <-c.ended:
		return false
	default:
	}
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	err = raw.Control(func(fd uintptr) { pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return err == nil && pending == 0
}

// playUnread lets clients ask for long streams that they don't read, and checks that these
// requests end with their route's time, and that others are served afterwards.
func playUnread(s *scene) (string, error) {
	st, log := newStore(), &runLog{}
	l, err := listen()
	if err != nil {
		return "", err
	}
	go st.serve(l)
	for i := range unreadEngines {
		e := &engine{id: fmt.Sprintf("e-%d", i+1), log: log, store: st, service: engineService, slots: unreadSlots}
		if err := e.start(); err != nil {
			return "", err
		}
	}
	if err := addDesk(st, log); err != nil {
		return "", err
	}
	routes := append(deskRoutes(), route{name: "plan", kind: "streaming", service: engineService, timeout: unreadTimeout, attempts: 1})
	st.set("op/config", configuration(1, routes, []map[string]any{application(serviceName), modelService(engineService, unreadSlots)}, []string{apiKey}))
	nodes, err := s.newNodes(3, l.Addr().String())
	if err != nil {
		return "", err
	}
	if err := startAll(nodes); err != nil {
		return "", err
	}
	defer stopAll(nodes)
	time.Sleep(stableWindow)
	var clients []*unreadClient
	for i := range unreadClients {
		conn, err := dialNarrow(nodes[i%len(nodes)].fields.front)
		if err != nil {
			return "", err
		}
		defer conn.Close()
		c := &unreadClient{conn: conn, ended: make(chan struct{})}
		clients = append(clients, c)
		if err := sendStreamRequest(conn, longPath, fmt.Sprintf("unread-%d", i), unreadTimeout, fmt.Sprintf("%08x:400", i), 400); err != nil {
			return "", err
		}
		if !s.trouble {
			go c.run()
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.note("%d clients asked for a long stream each; they read: %t", len(clients), !s.trouble)
	time.Sleep(unreadTimeout + finalSlack)
	open := 0
	for _, c := range clients {
		if c.isOpen() {
			open++
		}
	}
	s.note("%d of these requests have no end %v after their route's time", open, finalSlack)
	streams, lookups := s.ordinaryRequests(nodes)
	runs := 0
	for _, r := range log.all() {
		if strings.HasPrefix(r.attempt, "ordinary") {
			runs++
		}
	}
	s.note("served of %d ordinary requests for streams %d, of as many lookups %d; engines ran %d of the streams", ordinaryCount, streams, lookups, runs)
	if open > allowedOpen && float64(streams) < starved*float64(streams+lookups)/2 {
		return fmt.Sprintf("%d requests had no end %v after their route's time; of %d ordinary requests for streams after them %d were served, of as many lookups %d", open, finalSlack, ordinaryCount, streams, lookups), nil
	}
	return "", nil
}

// ordinaryRequests sends requests for streams and lookups, and returns how many of each
// were served.
func (s *scene) ordinaryRequests(nodes []*node) (streams, lookups int) {
	var mu sync.Mutex
	var done sync.WaitGroup
	statuses := map[string]int{}
	count := func(kind string, a answer, served *int) {
		defer done.Done()
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprintf("%s %d", kind, a.status)]++
		if a.status == http.StatusOK && a.err == nil {
			*served++
		}
	}
	for k := range ordinaryCount {
		address := nodes[k%len(nodes)].fields.front
		done.Add(2)
		go func() {
			count("stream", streamCall(address, fmt.Sprintf("ordinary-%d", k), prefixOf(k, 10, false)), &streams)
		}()
		go func() {
			count("lookup", callOnce(address, http.MethodGet, "/lookup/1", fmt.Sprintf("lookup-%d", k), apiKey, "", time.Second), &lookups)
		}()
		time.Sleep(ordinaryPause)
	}
	done.Wait()
	s.note("answers to ordinary requests: %v", statuses)
	return streams, lookups
}
