package membership

import "time"

const (
	// maxContacts bounds the addresses whose contact attempts are recorded.
	maxContacts = 4096
	// contactPause is the pause after the first attempt to contact an unknown host, and
	// deadContactPause after the first one to contact a host that is dead here. The
	// pause doubles up to maxContactPause.
	contactPause     = 250 * time.Millisecond
	deadContactPause = time.Second
	maxContactPause  = 2 * time.Second
)

// contact records the attempts to contact the host at an address.
type contact struct {
	at    time.Time
	pause time.Duration
}

// contacts holds the latest contact attempts by address. The pause between two attempts
// doubles, so that a host that all others contact at once is not flooded while it is slow
// to answer. The zero value is empty.
type contacts map[string]contact

// due reports whether an attempt may begin.
func (c contacts) due(address string, now time.Time) bool {
	latest, attempted := c[address]
	return !attempted || now.Sub(latest.at) >= latest.pause
}

// begin records an attempt. The pause after the first one is minPause.
func (c *contacts) begin(address string, now time.Time, minPause time.Duration) {
	if *c == nil || len(*c) >= maxContacts {
		*c = contacts{}
	}
	pause := min(max(2*(*c)[address].pause, minPause), maxContactPause)
	(*c)[address] = contact{at: now, pause: pause}
}

// forget drops what is recorded of an address, because the host there is known.
func (c contacts) forget(address string) { delete(c, address) }
