package budget

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// Reason is why a body or a connection was dropped.
type Reason string

// The reasons.
const (
	// BodyWithoutRoom is a body for which there was no room, BodyDisplaced one that was
	// displaced by others while it was read.
	BodyWithoutRoom Reason = "body-without-room"
	BodyDisplaced   Reason = "body-displaced"
	// BodyTooSlow is a body that arrived below the least rate.
	BodyTooSlow Reason = "body-too-slow"
	// HeadWithoutRoom is the head of a request for which there was no room.
	HeadWithoutRoom Reason = "head-without-room"
	// ConnectionRefused is a new connection for which there was no room, and
	// ConnectionClosed one that was closed for another.
	ConnectionRefused Reason = "connection-refused"
	ConnectionClosed  Reason = "connection-closed"
	// CallerUnread is a caller that read nothing for too long, and SpoolFull one that
	// read too slowly, while a part of its answer was spooled.
	CallerUnread Reason = "caller-unread"
	SpoolFull    Reason = "spool-full"
	// HostRefused is a connection of another host for which there was no room, and
	// FrameRefused a frame of one.
	HostRefused  Reason = "host-connection-refused"
	FrameRefused Reason = "host-frame-refused"
)

// reportInterval is the least time between two lines in the log.
const reportInterval = time.Second

// Reporter counts what was dropped, and logs it at a limited rate. A nil
// Reporter does nothing. It is safe for concurrent use.
type Reporter struct {
	Log     *zap.Logger
	Account *Account
	// Count adds one to the named counter.
	Count func(name string)

	mu sync.Mutex
	// reported is the time of the last line, and unreported counts what came since.
	reported   time.Time
	unreported map[Reason]int
}

// Report counts one case, and logs those since the last line unless that was just
// written.
func (r *Reporter) Report(reason Reason) {
	if r == nil {
		return
	}
	r.Count("budget." + string(reason))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unreported == nil {
		r.unreported = map[Reason]int{}
	}
	r.unreported[reason]++
	now := time.Now()
	if now.Sub(r.reported) < reportInterval {
		return
	}
	r.Log.Warn("bodies or connections dropped for lack of room or progress", zap.Any("cases", r.unreported),
		zap.Int64("held-bytes", r.Account.Held()), zap.Int64("limit-bytes", r.Account.Limit()))
	r.reported, r.unreported = now, nil
}
