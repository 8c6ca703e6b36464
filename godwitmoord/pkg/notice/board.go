package notice

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxNotices and maxBoardBytes bound the board, maxBodyBytes one notice.
	maxNotices    = 4096
	maxBoardBytes = 8 << 20
	maxBodyBytes  = 512 << 10
	// maxNameBytes bounds the topic and the subject of a notice.
	maxNameBytes = 256
)

// key identifies what a notice is about.
type key struct{ topic, subject string }

func (n Notice) key() key { return key{topic: n.Topic, subject: n.Subject} }

// valid reports whether a notice is within the bounds of the board.
func (n Notice) valid() bool {
	named := n.Topic != "" && n.Subject != "" && len(n.Topic) <= maxNameBytes && len(n.Subject) <= maxNameBytes
	return named && len(n.Body) <= maxBodyBytes && n.Age >= 0 && n.Life >= 0
}

// entry is a notice on the board.
type entry struct {
	notice    Notice
	learnedAt time.Time
	// expiresAt is when the notice is dropped; zero means never.
	expiresAt time.Time
}

func (e entry) expired(now time.Time) bool { return !e.expiresAt.IsZero() && !now.Before(e.expiresAt) }

// at returns the notice with its age and remaining life at the given time.
func (e entry) at(now time.Time) Notice {
	n := e.notice
	n.Age = max(now.Sub(e.learnedAt), 0)
	if !e.expiresAt.IsZero() {
		n.Life = e.expiresAt.Sub(now)
	}
	return n
}

// board holds the newest notice about each subject. The zero value is empty.
type board struct {
	entries map[key]entry
	bytes   int
}

// put adds a notice and reports whether the board did not hold its version yet.
func (b *board) put(n Notice, now time.Time) bool {
	b.dropExpired(now)
	held, known := b.entries[n.key()]
	full := !known && (len(b.entries) >= maxNotices || b.bytes+len(n.Body) > maxBoardBytes)
	if !n.valid() || full || (known && held.notice.Version >= n.Version) {
		return false
	}
	if b.entries == nil {
		b.entries = map[key]entry{}
	}
	e := entry{notice: n, learnedAt: now.Add(-n.Age)}
	if n.Life > 0 {
		e.expiresAt = now.Add(n.Life)
	}
	b.bytes += len(n.Body) - len(held.notice.Body)
	b.entries[n.key()] = e
	return true
}

// get returns a notice with its present age.
func (b *board) get(k key, now time.Time) (Notice, bool) {
	e, known := b.entries[k]
	if !known || e.expired(now) {
		return Notice{}, false
	}
	return e.at(now), true
}

// version returns the version of the notice held about a subject; false if there is
// none.
func (b *board) version(k key, now time.Time) (int64, bool) {
	e, known := b.entries[k]
	return e.notice.Version, known && !e.expired(now)
}

// remove drops a notice whose version is not above the given one.
func (b *board) remove(k key, version int64) {
	if e, known := b.entries[k]; known && e.notice.Version <= version {
		b.bytes -= len(e.notice.Body)
		delete(b.entries, k)
	}
}

func (b *board) dropExpired(now time.Time) {
	for k, e := range b.entries {
		if e.expired(now) {
			b.bytes -= len(e.notice.Body)
			delete(b.entries, k)
		}
	}
}

// emptyDigest is the digest of an empty board.
const emptyDigest = 0

// digest returns a hash over subjects and versions, regardless of their order.
func (b *board) digest(now time.Time) uint64 {
	var sum uint64
	for k, e := range b.entries {
		if !e.expired(now) {
			sum ^= k.hash(e.notice.Version)
		}
	}
	return sum
}

func (k key) hash(version int64) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never return an error.
	_, _ = d.WriteString(k.topic)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(k.subject)
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, uint64(version)))
	return d.Sum64()
}
