package front

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/budget"
	"godwitmoor.example/godwitmoord/pkg/common"
	"godwitmoor.example/godwitmoord/pkg/serving"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const testBodyLimit = 4 << 20

// deadlineWriter is a response writer that records the read deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
	// beforeSet, if set, is called before the next deadline is set.
	beforeSet func()
}

func (w *deadlineWriter) SetReadDeadline(deadline time.Time) error {
	if before := w.beforeSet; before != nil {
		w.beforeSet = nil
		before()
	}
	w.deadline = deadline
	return nil
}

// slowBody returns step bytes after each pause until its bytes are used up, and nothing
// more after that until the read deadline.
type slowBody struct {
	writer      *deadlineWriter
	left, step  int
	pause       time.Duration
	endsInstead bool
}

func (b *slowBody) Read(into []byte) (int, error) {
	if b.left == 0 && b.endsInstead {
		return 0, io.EOF
	}
	arrives := time.Now().Add(b.pause)
	if b.left == 0 || arrives.After(b.writer.deadline) {
		time.Sleep(time.Until(b.writer.deadline))
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(b.pause)
	n := min(len(into), b.step, b.left)
	b.left -= n
	return n, nil
}

func (b *slowBody) Close() error { return nil }

// newTestBody returns a body of a chunked request to a host with the given memory.
func newTestBody(memory int, body io.Reader) *callerBody {
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	if slow, isSlow := body.(*slowBody); isSlow {
		slow.writer = w
	}
	r := httptest.NewRequest(http.MethodPost, "/", body)
	r.ContentLength = -1
	s := New(&common.Common{Budget: budget.New(int64(memory) << 20)})
	return &callerBody{service: s, writer: w, request: r, control: http.NewResponseController(w)}
}

func readTestBody(b *callerBody) (serving.Request, *rejection) {
	request := serving.Request{}
	request.Service.BodyLimit = testBodyLimit
	return request, b.readInto(&request)
}

// Many bodies that stopped just short of their end stayed open and held their
// memory for half a minute.
func TestBodyWithoutProgressIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		_, rejected := readTestBody(newTestBody(64, &slowBody{left: 1 << 20, step: 1 << 20}))
		is.Equal(rejected.status, http.StatusRequestTimeout)
		is.Equal(rejected.reason, text.BodyTooSlow)
		is.True(time.Since(start) <= progressTime+progressStep)
	})
}

// A caller with a slow network is not one that misbehaves.
func TestBodyAboveTheLeastRateIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		request, rejected := readTestBody(newTestBody(64, &slowBody{left: 40 << 10, step: 2 << 10, pause: time.Second, endsInstead: true}))
		is.Equal(rejected, nil)
		is.Equal(lengthOf(request), 40<<10)
	})
}

// Without the setting, bodies are read as long as before.
func TestBodyWithoutProgressIsCutAfterItsWholeTimeWithoutABudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		_, rejected := readTestBody(newTestBody(0, &slowBody{left: 1 << 20, step: 1 << 20}))
		is.Equal(rejected.reason, text.BadBody)
		is.Equal(time.Since(start), readBodyTimeout)
	})
}

func lengthOf(request serving.Request) int {
	n := len(request.Body)
	for _, piece := range request.BodyRest {
		n += len(piece)
	}
	return n
}

// A body took several times its size while it was read, and a declared length took its
// whole size at once.
func TestBodyTakesAboutItsOwnSize(t *testing.T) {
	is := is.New(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 20_011)
	for _, declared := range []int64{-1, int64(len(sent))} {
		b := newTestBody(64, iotest.OneByteReader(bytes.NewReader(sent)))
		b.request.ContentLength = declared
		request, rejected := readTestBody(b)
		is.Equal(rejected, nil)
		is.True(b.service.common.Budget.Held() >= int64(len(sent)))
		is.True(b.service.common.Budget.Held() <= int64(len(sent)+maxChunkBytes))
		is.True(bytes.Equal(bytes.Join(append([][]byte{request.Body}, request.BodyRest...), nil), sent))
		is.True(bytes.Equal(b.whole(), sent))
		b.close()
		is.Equal(b.service.common.Budget.Held(), int64(0))
	}
}

// What does not fit was read before it was refused.
func TestBodyDeclaredOverTheLimitIsRefusedUnread(t *testing.T) {
	is := is.New(t)
	b := newTestBody(64, iotest.ErrReader(io.ErrUnexpectedEOF))
	b.request.ContentLength = testBodyLimit + 1
	_, rejected := readTestBody(b)
	is.Equal(rejected.status, http.StatusRequestEntityTooLarge)
}

// A refusal for memory must be one that its caller may repeat.
func TestBodyWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	b := newTestBody(4, bytes.NewReader(make([]byte, 3<<20)))
	_, rejected := readTestBody(b)
	is.Equal(rejected.status, http.StatusServiceUnavailable)
	is.Equal(rejected.reason, text.HostFull)
	is.True(rejected.retryAfter > 0)
	b.close()
	is.Equal(b.service.common.Budget.Held(), int64(0))
}

// A body that was displaced while its read deadline was extended went on being read, and
// held memory that was charged to another one.
func TestExtendedDeadlineDoesNotUndoAnInterrupt(t *testing.T) {
	is := is.New(t)
	b := newTestBody(1, nil)
	account := b.service.common.Budget
	b.charge.Open(account, 1, "desk", b)
	is.True(b.charge.Grow(2 * budget.SmallBytes))
	now := time.Now()
	b.end = now.Add(readBodyTimeout)
	w := b.writer.(*deadlineWriter)
	w.beforeSet = func() {
		var other budget.Body
		other.Open(account, 0, "shop", b)
		is.True(other.Grow(account.Limit() * 7 / 8)) // all that large bodies may hold
	}
	b.progressed(minProgressBytes)
	is.True(b.charge.Displaced())
	is.True(w.deadline.Before(now))
}

// A request that is displaced by a new connection must be refused as not run, also where
// its body goes on arriving.
func TestBodyDisplacedByAConnectionIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &boundedListener{maxOpen: 1, open: map[*callerConn]struct{}{}}
		near, far := net.Pipe()
		defer far.Close()
		b := newTestBody(64, &slowBody{left: 1 << 20, step: 2 << 10, pause: 500 * time.Millisecond})
		b.conn = l.admit(near)
		displaced := make(chan bool, 1)
		time.AfterFunc(3*time.Second, func() { displaced <- l.closeOne() })
		_, rejected := readTestBody(b)
		is.True(<-displaced)
		is.Equal(rejected.status, http.StatusServiceUnavailable)
		is.Equal(rejected.reason, text.HostFull)
		is.Equal(l.leaving, 1)
		is.NoErr(b.conn.Close())
		is.Equal(l.leaving, 0)
	})
}

// A request whose body is complete may be sent, so it can't be refused as not run.
func TestRequestWithACompleteBodyIsNotDisplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &boundedListener{maxOpen: 1, open: map[*callerConn]struct{}{}}
		near, far := net.Pipe()
		defer far.Close()
		b := newTestBody(64, &slowBody{left: 8 << 10, step: 2 << 10, pause: time.Second, endsInstead: true})
		b.conn = l.admit(near)
		_, rejected := readTestBody(b)
		is.Equal(rejected, nil)
		time.Sleep(time.Minute)
		is.True(!l.closeOne())
		is.NoErr(b.conn.Close())
	})
}

// Connections that leave are open beyond the bound, so they must be few.
func TestFewRequestsAreDisplacedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &boundedListener{maxOpen: 2 * leavingDivisor, open: map[*callerConn]struct{}{}}
		for range l.maxOpen {
			near, far := net.Pipe()
			defer far.Close()
			l.admit(near).beginBody(time.Now())
		}
		time.Sleep(time.Minute)
		admitted := 0
		for range l.maxOpen {
			near, far := net.Pipe()
			defer far.Close()
			if l.admit(near) != nil {
				admitted++
			}
		}
		is.Equal(admitted, 2)
		is.Equal(len(l.open), l.maxOpen+2)
	})
}
