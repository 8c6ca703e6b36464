package permit

import (
	"maps"
	"time"
)

const (
	// unsentMemory is how long a returned permit is remembered, and maxUnsent how many
	// are.
	unsentMemory = 10 * time.Second
	maxUnsent    = 4096
)

// unsentRequests remembers the requests that this owner charged to a quota and whose
// permits were returned unused: they may ask again. The zero value remembers none.
type unsentRequests struct{ returnedAt map[string]Instant }

// remember records that the permit of a request was returned.
func (u *unsentRequests) remember(request string, now Instant) {
	if u.returnedAt == nil {
		u.returnedAt = map[string]Instant{}
	}
	if len(u.returnedAt) >= maxUnsent {
		maps.DeleteFunc(u.returnedAt, func(_ string, at Instant) bool { return now.Since(at) > unsentMemory })
	}
	if len(u.returnedAt) < maxUnsent {
		u.returnedAt[request] = now
	}
}

// take forgets a request, and reports whether its permit was returned not long ago.
func (u *unsentRequests) take(request string, now Instant) bool {
	at, found := u.returnedAt[request]
	delete(u.returnedAt, request)
	return found && now.Since(at) <= unsentMemory
}
