package front

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/godwitmoord/pkg/budget"
	"godwitmoor.example/godwitmoord/pkg/serving"
	"godwitmoor.example/godwitmoord/pkg/text"
)

const (
	// The first chunk of a body has minChunkBytes, each further one twice the bytes of
	// the one before, up to maxChunkBytes. A body in chunks needs no copy as it grows.
	minChunkBytes = 512
	maxChunkBytes = 64 << 10
	// maxFirstChunkBytes bounds the first chunk of a body whose length was declared.
	maxFirstChunkBytes = 4 << 10
	// While memory is bounded, minProgressBytes of a body must arrive in each
	// progressTime, 1 KiB a second, which is below the rate of a modem.
	minProgressBytes = 6 << 10
	progressTime     = 6 * time.Second
	// progressStep is how often the time for progress is extended at most.
	progressStep = time.Second
	// lingerTime bounds how long the rest of a refused request is read, so that its
	// caller can read the refusal.
	lingerTime = 500 * time.Millisecond
	// noRoomRetry is when a caller for whose body there was no room should try again.
	noRoomRetry = time.Second
)

// callerBody is the body of a caller's request while it is read, and its charge until
// the request has ended.
type callerBody struct {
	service *Service
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	// conn is the connection of the request; nil if connections are not bounded.
	conn   *callerConn
	charge budget.Body
	// chunks are the body; firstChunk holds them while there is one only.
	chunks     [][]byte
	firstChunk [1][]byte
	length     int64
	// end is when reading the body ends at the latest. progressEnd is when the next
	// minProgressBytes must have arrived, stepEnd from when on that may be extended, and
	// progress what has arrived of them.
	end, progressEnd, stepEnd time.Time
	progress                  int
}

func newCallerBody(s *Service, w http.ResponseWriter, r *http.Request) *callerBody {
	conn, _ := r.Context().Value(connectionKey{}).(*callerConn)
	return &callerBody{service: s, writer: w, request: r, control: http.NewResponseController(w), conn: conn}
}

// readInto reads the body of the request up to the service's limit.
func (b *callerBody) readInto(request *serving.Request) *rejection {
	if b.request.Body == http.NoBody {
		return nil
	}
	limit := request.Service.BodyLimit
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	bounded := b.service.common.Budget != nil
	if bounded && b.request.ContentLength > limit {
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: text.BodyTooLarge}
	}
	b.charge.Open(b.service.common.Budget, request.Rank, request.Customer, b)
	// The read deadline cuts off a caller that sends its body too slowly. It is
	// removed after the body, because the server goes on reading to notice when the
	// caller disconnects.
	now := time.Now()
	b.end = now.Add(readBodyTimeout)
	b.conn.beginBody(now)
	b.extend(now, bounded)
	rejected := b.read(http.MaxBytesReader(b.writer, b.request.Body, limit), bounded)
	if !b.conn.endBody() && rejected == nil {
		rejected = b.noRoom()
	}
	_ = b.control.SetReadDeadline(time.Time{})
	// Fields after the body are not used, and hold many times their bytes.
	b.request.Trailer = nil
	if rejected != nil {
		return rejected
	}
	if len(b.chunks) > 0 {
		request.Body, request.BodyRest = b.chunks[0], b.chunks[1:]
	}
	return nil
}

// read reads the body in chunks. Each is charged before it is allocated.
func (b *callerBody) read(body io.Reader, bounded bool) *rejection {
	for size := b.firstChunkBytes(); ; size = b.nextChunkBytes(size) {
		if !b.charge.Grow(size) {
			return b.noRoom()
		}
		chunk := make([]byte, 0, size)
		for len(chunk) < cap(chunk) {
			n, err := body.Read(chunk[len(chunk):cap(chunk)])
			chunk = chunk[:len(chunk)+n]
			if err != nil {
				b.add(chunk)
				return b.ended(err)
			}
			if bounded {
				b.progressed(n)
				if pause := b.charge.Pause(n); pause > 0 {
					time.Sleep(pause)
				}
			}
		}
		b.add(chunk)
	}
}

func (b *callerBody) add(chunk []byte) {
	if b.chunks == nil {
		b.chunks = b.firstChunk[:0]
	}
	if len(chunk) > 0 {
		b.chunks, b.length = append(b.chunks, chunk), b.length+int64(len(chunk))
	}
}

// firstChunkBytes returns the size of the first chunk. A declared length says only that
// no more is needed.
func (b *callerBody) firstChunkBytes() int64 {
	return min(max(b.request.ContentLength, minChunkBytes), maxFirstChunkBytes)
}

// nextChunkBytes returns the size of the chunk after one of the given size.
func (b *callerBody) nextChunkBytes(size int64) int64 {
	size = min(2*size, maxChunkBytes)
	if b.request.ContentLength < 0 {
		return size
	}
	return min(size, max(b.request.ContentLength-b.length, minChunkBytes))
}

// progressed records that n bytes arrived, and extends the time for the next ones.
func (b *callerBody) progressed(n int) {
	now := time.Now()
	b.charge.Progressed(now)
	b.conn.progressed(n, now)
	b.progress += n
	if b.progress < minProgressBytes || now.Before(b.stepEnd) {
		return
	}
	b.extend(now, true)
}

// extend sets the read deadline.
func (b *callerBody) extend(now time.Time, bounded bool) {
	b.progress, b.stepEnd, b.progressEnd = 0, now.Add(progressStep), b.end
	if bounded && now.Add(progressTime).Before(b.end) {
		b.progressEnd = now.Add(progressTime)
	}
	_ = b.control.SetReadDeadline(b.progressEnd)
	// The extension may have undone the deadline that Interrupt set meanwhile.
	if b.displaced() {
		b.Interrupt()
	}
}

// displaced reports whether the body was displaced, by other bodies or by a connection.
func (b *callerBody) displaced() bool { return b.charge.Displaced() || b.conn.isDisplaced() }

// ended returns why the body that ended with err is refused; nil if it is complete.
func (b *callerBody) ended(err error) *rejection {
	if !b.charge.Complete() || b.conn.isDisplaced() {
		return b.noRoom()
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case errors.As(err, &tooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: text.BodyTooLarge}
	case errors.Is(err, os.ErrDeadlineExceeded) && b.progressEnd.Before(b.end):
		b.service.common.Shortages.Report(budget.BodyTooSlow)
		return &rejection{status: http.StatusRequestTimeout, reason: text.BodyTooSlow}
	default:
		return &rejection{status: http.StatusBadRequest, reason: text.BadBody}
	}
}

// noRoom returns the rejection of a body for whose next chunk there is no room, or that
// was displaced.
func (b *callerBody) noRoom() *rejection {
	reason := budget.BodyWithoutRoom
	if b.displaced() {
		reason = budget.BodyDisplaced
	}
	b.service.common.Shortages.Report(reason)
	return &rejection{status: http.StatusServiceUnavailable, reason: text.HostFull, retryAfter: noRoomRetry}
}

// Interrupt makes the read of the body end.
func (b *callerBody) Interrupt() { _ = b.control.SetReadDeadline(time.Unix(0, 1)) }

// whole returns the body in one piece, for what needs it so.
func (b *callerBody) whole() []byte {
	switch len(b.chunks) {
	case 0:
		return nil
	case 1:
		return b.chunks[0]
	}
	b.service.common.Budget.Add(b.length)
	joined := bytes.Join(b.chunks, nil)
	b.chunks = [][]byte{joined}
	b.service.common.Budget.Add(-b.length)
	return joined
}

// refuse prepares the connection for a refusal of the request. While memory is bounded,
// a rest of the body that does not come must not hold the connection.
func (b *callerBody) refuse(reason text.Reason) {
	b.boundLastWrite()
	if b.service.common.Budget == nil || b.request.Body == http.NoBody {
		return
	}
	if reason == text.HostFull || reason == text.BodyTooSlow || reason == text.BodyTooLarge {
		b.writer.Header().Set("Connection", "close")
	}
	_ = b.control.SetReadDeadline(time.Now().Add(lingerTime))
}

// boundLastWrite bounds the write of what is left of the answer. Where answers are spooled,
// the bounds of the spool apply.
func (b *callerBody) boundLastWrite() {
	_ = b.control.SetWriteDeadline(time.Now().Add(lastWriteTime))
}

// close returns the charge of the body, at the end of its request.
func (b *callerBody) close() {
	b.chunks, b.firstChunk = nil, [1][]byte{}
	b.charge.Close()
}
