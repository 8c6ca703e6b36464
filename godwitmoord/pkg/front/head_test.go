package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/budget"
	"godwitmoor.example/godwitmoord/pkg/common"
)

const (
	// testHeadMemory is the memory of a host in these tests, in bytes.
	testHeadMemory = 8 << 20
	// serverBufferBytes is what the HTTP server reads at once.
	serverBufferBytes = 4 << 10
	// testFields is the number of fields of a large head, leastFieldBytes what each must be
	// charged at least.
	testFields      = 2000
	leastFieldBytes = 100
	// betweenWrites is the time between two parts of a head that must not arrive at once.
	betweenWrites = time.Millisecond
)

// headServer answers each request with its method, path and body.
type headServer struct {
	is       *is.I
	service  *Service
	listener *boundedListener
	// requests receives the path of each request, whose answer waits for goOn.
	requests chan string
	goOn     chan struct{}
}

func startHeadServer(t *testing.T, memory int64) *headServer {
	t.Helper()
	s := &headServer{is: is.New(t), requests: make(chan string, 1), goOn: make(chan struct{})}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	s.is.NoErr(err)
	s.service = New(&common.Common{Budget: budget.New(memory)})
	s.listener = &boundedListener{Listener: inner, account: s.service.common.Budget, open: map[*callerConn]struct{}{}}
	server := &http.Server{Handler: s, ConnContext: withConnection, ConnState: recordPhase, MaxHeaderBytes: boundedHeaderBytes}
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *headServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body := newCallerBody(s.service, w, r)
	defer body.close()
	if rejected := body.chargeHead(); rejected != nil {
		w.WriteHeader(rejected.status)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/wait") {
		s.requests <- r.URL.Path
		<-s.goOn
	}
	content, _ := io.ReadAll(r.Body)
	fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, content)
}

func (s *headServer) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	s.is.NoErr(err)
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(spoolWait))
	return conn
}

func (s *headServer) awaitHeld(condition func(held int64) bool) {
	for end := time.Now().Add(spoolWait); !condition(s.listener.account.Held()); time.Sleep(time.Millisecond) {
		s.is.True(time.Now().Before(end))
	}
}

// readAnswers returns the bodies of the answers to a number of requests.
func (s *headServer) readAnswers(conn net.Conn, count int) []string {
	reader := bufio.NewReader(conn)
	var bodies []string
	for range count {
		response, err := http.ReadResponse(reader, nil)
		s.is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		s.is.NoErr(err)
		bodies = append(bodies, string(body))
	}
	return bodies
}

// largeHead returns the head of a request with many fields, without its last line.
func largeHead(path string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: a\r\n", path)
	for i := range testFields {
		fmt.Fprintf(&b, "%x:\r\n", 0x100+i)
	}
	return b.String()
}

// The HTTP server held many times the bytes of heads that did not end.
func TestHeadIsPassedOnOnceItIsComplete(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	l := &boundedListener{account: budget.New(testHeadMemory), open: map[*callerConn]struct{}{}}
	c := l.admit(near)
	defer c.Close()
	read := make(chan int)
	go func() {
		n, _ := c.Read(make([]byte, serverBufferBytes))
		read <- n
	}()
	head := largeHead("/one")
	_, err := io.WriteString(far, head)
	is.NoErr(err)
	select {
	case <-read:
		t.Fatal("a head that is not complete was passed on")
	case <-time.After(betweenWrites):
	}
	is.Equal(l.account.Held(), int64(budget.ConnectionBytes))
	_, err = io.WriteString(far, "\r\n")
	is.NoErr(err)
	is.Equal(<-read, serverBufferBytes)
	is.True(cap(c.head.buffer)+serverBufferBytes <= maxHeadBytes)
}

// The fields of a head are held until its request has ended, however long its body takes.
func TestFieldsOfAHeadAreChargedUntilTheRequestHasEnded(t *testing.T) {
	s := startHeadServer(t, testHeadMemory)
	for _, lists := range []string{largeHead("/wait"), "GET /wait HTTP/1.1\r\nHost: a\r\nTrailer: " + strings.Repeat("a,", testFields) + "\r\n"} {
		conn := s.dial(t)
		_, err := io.WriteString(conn, lists+"\r\n")
		s.is.NoErr(err)
		<-s.requests
		s.is.True(s.listener.account.Held() >= testFields*leastFieldBytes)
		s.goOn <- struct{}{}
		s.readAnswers(conn, 1)
		s.awaitHeld(func(held int64) bool { return held == budget.ConnectionBytes })
		conn.Close()
		s.awaitHeld(func(held int64) bool { return held == 0 })
	}
}

// A caller could send the head of its next request before the answer, so that the server
// had it before it was charged.
func TestFieldsOfAHeadThatIsSentAheadAreCharged(t *testing.T) {
	s := startHeadServer(t, testHeadMemory)
	next := largeHead("/wait/next") + "\r\n"
	for _, ahead := range []int{1, 100, 2000, 3000, 4000, len(next)} {
		conn := s.dial(t)
		_, err := io.WriteString(conn, "POST /wait/first HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"+next[:ahead])
		s.is.NoErr(err)
		<-s.requests
		s.goOn <- struct{}{}
		time.Sleep(betweenWrites)
		_, err = io.WriteString(conn, next[ahead:])
		s.is.NoErr(err)
		<-s.requests
		s.is.True(s.listener.account.Held() >= testFields*leastFieldBytes)
		s.goOn <- struct{}{}
		s.is.Equal(s.readAnswers(conn, 2), []string{"POST /wait/first x", "GET /wait/next "})
		conn.Close()
		s.awaitHeld(func(held int64) bool { return held == 0 })
	}
}

// A refusal for memory must be one that its caller may repeat.
func TestHeadWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	s := startHeadServer(t, testFields*leastFieldBytes)
	conn := s.dial(t)
	_, err := io.WriteString(conn, largeHead("/large")+"\r\n")
	s.is.NoErr(err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	s.is.NoErr(err)
	s.is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	s.is.True(answer.Header.Get("Retry-After") != "")
	s.is.True(answer.Close)
	s.awaitHeld(func(held int64) bool { return held == 0 })
	conn = s.dial(t)
	_, err = io.WriteString(conn, "GET /small HTTP/1.1\r\nHost: a\r\n\r\n")
	s.is.NoErr(err)
	s.is.Equal(s.readAnswers(conn, 1), []string{"GET /small "})
}

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	for _, size := range []int{maxHeadBytes, maxHeadBytes + 1, 4 * maxHeadBytes} {
		s := startHeadServer(t, testHeadMemory)
		conn := s.dial(t)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\nlong: "+strings.Repeat("x", size))
		s.is.NoErr(err)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		s.is.NoErr(err)
		s.is.Equal(answer.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	}
}

// Guards against a head, a body or an empty line that is taken for another, wherever the
// network cuts what a caller sends.
func TestRequestsAreReadAlikeWhereverTheyAreCut(t *testing.T) {
	const requests = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n" +
		"POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 12\r\n\r\na\r\n\r\nGET /x \n" +
		"\r\nPOST /3 HTTP/1.1\nHost: a\nTransfer-Encoding: chunked\n\n3\r\n\r\n\n\r\n0\r\nt: u\r\n\r\n" +
		"GET /4 HTTP/1.1\r\nHost: a\r\n\r\n"
	want := []string{"GET /1 ", "POST /2 a\r\n\r\nGET /x ", "POST /3 \r\n\n", "GET /4 "}
	s := startHeadServer(t, testHeadMemory)
	for cut := range len(requests) {
		conn := s.dial(t)
		_, err := io.WriteString(conn, requests[:cut])
		s.is.NoErr(err)
		time.Sleep(betweenWrites)
		_, err = io.WriteString(conn, requests[cut:])
		s.is.NoErr(err)
		s.is.Equal(s.readAnswers(conn, len(want)), want)
		conn.Close()
	}
	conn := s.dial(t)
	for i := range requests {
		_, err := io.WriteString(conn, requests[i:i+1])
		s.is.NoErr(err)
		time.Sleep(betweenWrites)
	}
	s.is.Equal(s.readAnswers(conn, len(want)), want)
}
