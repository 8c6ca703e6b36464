package front

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/budget"
)

const (
	// testSocketBytes is the size of the kernel's buffers for a connection, so that a
	// caller that does not read is noticed soon.
	testSocketBytes = 32 << 10
	testPartBytes   = 2 << 10
	// testSpooled is how much of an answer is spooled when it ends, and stays so for
	// settledTime, in which the kernel may still take some.
	testSpooled = 32 << 10
	settledTime = 50 * time.Millisecond
	// testPartsFixed is more parts than the buffers of a connection hold.
	testPartsFixed = 200
	spoolWait      = 10 * time.Second
)

// smallListener accepts connections with small buffers.
type smallListener struct{ net.Listener }

func (l smallListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(testSocketBytes)
	}
	return c, err
}

// spoolServer answers with parts until enough is spooled.
type spoolServer struct {
	is       *is.I
	listener *boundedListener
	server   *http.Server
	// spooled is how much is spooled when an answer ends.
	spooled int64
	// sent receives the number of parts that were written, and written the error of the
	// last write.
	sent    chan int
	written chan error
}

// startSpoolServer starts a server whose listener has other bounds, if change sets them.
func startSpoolServer(t *testing.T, spooled int64, change func(*boundedListener)) *spoolServer {
	t.Helper()
	s := &spoolServer{is: is.New(t), spooled: spooled, sent: make(chan int, 8), written: make(chan error, 8)}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	s.is.NoErr(err)
	s.listener = &boundedListener{
		Listener: smallListener{inner}, account: budget.New(64 << 20), spools: true,
		unreadTime: 300 * time.Millisecond, fullTime: 200 * time.Millisecond, open: map[*callerConn]struct{}{},
	}
	if change != nil {
		change(s.listener)
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ConnContext: withConnection, ConnState: recordPhase}
	go func() { _ = s.server.Serve(s.listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

// withLongUnreadTime lets callers read nothing for as long as these tests wait.
func withLongUnreadTime(l *boundedListener) { l.unreadTime = spoolWait }

func (s *spoolServer) serve(w http.ResponseWriter, r *http.Request) {
	finished := resetUnfinished(r)
	control := http.NewResponseController(w)
	parts := 0
	var err error
	for err == nil && !s.enough(r, parts) {
		_, err = w.Write(bytes.Repeat([]byte{byte('a' + parts%26)}, testPartBytes))
		if err == nil {
			err = control.Flush()
		}
		parts++
	}
	s.sent <- parts
	s.written <- err
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	finished()
}

// enough reports whether an answer ends after a number of parts.
func (s *spoolServer) enough(r *http.Request, parts int) bool {
	switch r.URL.Path {
	case "/one":
		return parts == 1
	case "/fixed":
		return parts == testPartsFixed
	}
	if s.listener.spooled.Load() < s.spooled {
		return false
	}
	time.Sleep(settledTime)
	return s.listener.spooled.Load() >= s.spooled
}

// open sends a request and returns its connection, of which nothing is read yet.
func (s *spoolServer) open(t *testing.T, head string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	s.is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(testSocketBytes)
	_, err = fmt.Fprint(conn, head)
	s.is.NoErr(err)
	return conn
}

// readAnswer returns the body of an answer and the error that ended it.
func (s *spoolServer) readAnswer(conn net.Conn) ([]byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(spoolWait))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	s.is.NoErr(err)
	defer response.Body.Close()
	return io.ReadAll(response.Body)
}

func (s *spoolServer) awaitNothingHeld() {
	for end := time.Now().Add(spoolWait); s.listener.account.Held() > 0 || s.listener.spooled.Load() != 0; time.Sleep(time.Millisecond) {
		s.is.True(time.Now().Before(end))
	}
}

// The slot of an endpoint stayed taken until a slow caller had read its answer.
func TestAnswerEndsBeforeASlowCallerReadsIt(t *testing.T) {
	for _, head := range []string{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"} {
		s := startSpoolServer(t, testSpooled, withLongUnreadTime)
		conn := s.open(t, head)
		parts := <-s.sent
		s.is.NoErr(<-s.written)
		body, err := s.readAnswer(conn)
		s.is.NoErr(err)
		s.is.Equal(len(body), parts*testPartBytes)
		for i := range parts {
			s.is.Equal(body[i*testPartBytes], byte('a'+i%26))
			s.is.Equal(body[(i+1)*testPartBytes-1], byte('a'+i%26))
		}
		conn.Close()
		s.awaitNothingHeld()
	}
}

// An answer that was cut because its caller did not read it must not look complete.
func TestAnswerThatIsNotReadIsReset(t *testing.T) {
	for _, spooled := range []int64{testSpooled, 2 * maxSpoolBytes} {
		s := startSpoolServer(t, spooled, nil)
		conn := s.open(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		<-s.sent
		s.awaitNothingHeld()
		_, err := readAll(conn)
		s.is.True(err != nil) // a reset, no orderly end
	}
}

func readAll(conn net.Conn) ([]byte, error) {
	_ = conn.SetReadDeadline(time.Now().Add(spoolWait))
	return io.ReadAll(conn)
}

// An answer of HTTP/1.0 ends with its connection, so that of a process that ends with
// something spooled would look complete.
func TestAnswerOfHTTP10IsNotSpooled(t *testing.T) {
	s := startSpoolServer(t, testSpooled, nil)
	conn := s.open(t, "GET /fixed HTTP/1.0\r\n\r\n")
	time.Sleep(4 * blockedTime)
	s.is.Equal(s.listener.spooled.Load(), int64(0))
	body, err := s.readAnswer(conn)
	s.is.NoErr(err)
	s.is.Equal(len(body), testPartsFixed*testPartBytes)
}

// A host that stops ended with answers that were complete and not yet read.
func TestStopWaitsForWhatIsSpooled(t *testing.T) {
	s := startSpoolServer(t, testSpooled, withLongUnreadTime)
	conn := s.open(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	parts := <-s.sent
	s.is.NoErr(<-s.written)
	s.is.NoErr(s.server.Shutdown(t.Context()))
	s.is.True(s.listener.spooling.Load() > 0)
	body, err := s.readAnswer(conn)
	s.is.NoErr(err)
	s.is.Equal(len(body), parts*testPartBytes)
	s.listener.awaitSpools(t.Context())
	s.is.Equal(s.listener.spooling.Load(), int64(0))
}

// A host accepted connections until it had no descriptors left.
func TestConnectionsAreBounded(t *testing.T) {
	s := startSpoolServer(t, testSpooled, func(l *boundedListener) { l.maxOpen = 2 })
	idle := s.open(t, "GET /one HTTP/1.1\r\nHost: a\r\n\r\n")
	_, err := s.readAnswer(idle)
	s.is.NoErr(err)
	opening := s.open(t, "GET")
	for end := time.Now().Add(spoolWait); s.inPhase(budget.Idle) < 1 || s.inPhase(budget.Opened) < 1; time.Sleep(time.Millisecond) {
		s.is.True(time.Now().Before(end))
	}
	third := s.open(t, "GET /one HTTP/1.1\r\nHost: a\r\n\r\n")
	_, err = s.readAnswer(third)
	s.is.NoErr(err) // in place of the idle one
	_, err = readAll(idle)
	s.is.NoErr(err) // closed in order
	fmt.Fprint(opening, " /one HTTP/1.1\r\nHost: a\r\n\r\n")
	_, err = s.readAnswer(opening)
	s.is.NoErr(err)
}

// inPhase returns the number of connections in a phase.
func (s *spoolServer) inPhase(phase budget.ConnectionPhase) int {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	n := 0
	for c := range s.listener.open {
		if c.state(time.Now()).Phase == phase {
			n++
		}
	}
	return n
}

// A connection that closes only once its spool is sent was chosen again and again, so that
// new connections were refused beside others that could be closed at once.
func TestConnectionWithASpoolIsNotClosedForANewOne(t *testing.T) {
	is := is.New(t)
	l := &boundedListener{open: map[*callerConn]struct{}{}}
	admitIdle := func() *callerConn {
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		c := l.admit(near)
		c.setPhase(budget.Idle)
		return c
	}
	spooling, idle := admitIdle(), admitIdle()
	spooling.spool.running = true
	spooling.phaseStart.Store(0)
	is.True(l.closeOne())
	_, isOpen := l.open[idle]
	is.True(!isOpen)
	is.True(!l.closeOne()) // the other one can't be closed yet
	is.True(!spooling.spool.closing)
}

// Callers that read, if slowly, were reset while the spools of others took all room.
func TestAnswerIsSentWhileTheHostHasNoRoomForSpools(t *testing.T) {
	s := startSpoolServer(t, testSpooled, func(l *boundedListener) { l.spooled.Store(hostSpoolBytes) })
	conn := s.open(t, "GET /fixed HTTP/1.1\r\nHost: a\r\n\r\n")
	time.Sleep(4 * blockedTime)
	body, err := s.readAnswer(conn)
	s.is.NoErr(err)
	s.is.Equal(len(body), testPartsFixed*testPartBytes)
}

// A caller that reads nothing must not hold its endpoint while the host has no room for
// spools.
func TestUnreadAnswerIsResetWhileTheHostHasNoRoomForSpools(t *testing.T) {
	s := startSpoolServer(t, testSpooled, func(l *boundedListener) { l.spooled.Store(hostSpoolBytes) })
	conn := s.open(t, "GET /fixed HTTP/1.1\r\nHost: a\r\n\r\n")
	s.is.True(<-s.sent < testPartsFixed)
	s.is.True(<-s.written != nil)
	_, err := readAll(conn)
	s.is.True(err != nil) // a reset, no orderly end
}
