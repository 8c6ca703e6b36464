package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// firstToken and tokenPause are an engine's times until its first event and between two.
	firstToken = 80 * time.Millisecond
	tokenPause = 20 * time.Millisecond
	events     = 8
	// longEvents and longEventBytes are the largest stream of the site: so many events of so
	// many bytes, on requests for longPath.
	longEvents     = 640
	longEventBytes = 360
	longPath       = "/plan/long"
	// restartTime is how long an engine that crashed is away.
	restartTime = 1500 * time.Millisecond
)

// engine stands in for a model worker. It crashes when it begins to write an answer to a
// request with the part poison, and is back after restartTime.
type engine struct {
	id, address, service string
	slots                int
	log                  *runLog
	store                *store
	poison               string
	onCrash              func(attempt string)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// entry returns what the engine writes of itself to the store.
func (e *engine) entry(born time.Time) string {
	return fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"zone-a","Version":"v1","Slots":%d,"State":"ready","ColdLeftMs":0,"Sequence":1,"Stage":"both","Models":[{"Name":"m","Version":1}],"born":%d}`,
		e.service, e.address, e.slots, born.UnixMilli())
}

// modelService returns the entry of a model service in the configuration.
func modelService(name string, slots int) map[string]any {
	return map[string]any{
		"Name": name, "HealthPath": "/healthz", "MaxConns": 370, "Protocol": "h1", "Tls": false,
		"Engine": map[string]any{"Slots": slots, "KvCapacity": 762149, "Stride": 6},
	}
}

// start opens the engine's listener, at the address that it had before.
func (e *engine) start() error {
	open := listen
	if e.address != "" {
		open = func() (net.Listener, error) { return net.Listen("tcp", e.address) }
	}
	l, err := open()
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener, e.address, e.conns = l, l.Addr().String(), map[net.Conn]bool{}
	e.mu.Unlock()
	e.store.set("servers/"+e.id, e.entry(time.Now()))
	go e.accept(l)
	return nil
}

func (e *engine) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serveConn(conn)
	}
}

// crash resets all connections of the engine, and starts it again later.
func (e *engine) crash(attempt string) {
	e.mu.Lock()
	e.listener.Close()
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	e.conns = map[net.Conn]bool{}
	e.mu.Unlock()
	e.onCrash(attempt)
	time.Sleep(restartTime)
	_ = e.start()
}

// serveConn serves the requests on a connection, one after the other.
func (e *engine) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || !e.answer(conn, request) {
			return
		}
	}
}

// answer answers a request, and reports whether the connection can carry another.
func (e *engine) answer(conn net.Conn, r *http.Request) bool {
	attempt := r.Header.Get("Godwitmoor-Attempt-Id")
	if expected := r.Header.Get("Godwitmoor-Expect-Instance"); expected != "" && expected != e.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nGodwitmoor-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt)
		return err == nil
	}
	e.log.add(newRun(e.id, r))
	time.Sleep(firstToken)
	if e.poison != "" && strings.Contains(","+r.Header.Get("Godwitmoor-Prompt-Prefix"), ","+e.poison+":") {
		go e.crash(attempt)
		return false
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nGodwitmoor-Attempt-Id: %s\r\nGodwitmoor-Server-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, stampOf(e.id, attempt))
	count, filler, pause := events, "", tokenPause
	if r.URL.Path == longPath {
		count, filler, pause = longEvents, strings.Repeat(" ", longEventBytes), time.Millisecond
	}
	for i := 1; i <= count && err == nil; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s%s\n\n", i, i, attempt, filler)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(pause)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}
