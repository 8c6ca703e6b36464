package permit

import (
	"slices"
	"strings"
	"time"
)

// Crash describes one crash of an endpoint: the requests that it had not begun to
// answer, one of which may have caused the crash.
type Crash struct {
	// ID is the same in all messages about the crash.
	ID       string    `json:"id"`
	Endpoint string    `json:"endpoint"`
	Suspects []Suspect `json:"suspects"`
	// Age is the time since the crash.
	Age time.Duration `json:"age,omitempty"`
}

// Suspect is a request that an endpoint had not begun to answer when it crashed.
type Suspect struct {
	Request  string   `json:"request"`
	Customer string   `json:"customer,omitempty"`
	Subject  string   `json:"subject,omitempty"`
	Parts    []string `json:"parts,omitempty"`
}

// own returns a key of what only the tries of the request share.
func (s Suspect) own() string {
	if s.Subject == "" {
		return s.Request
	}
	return s.Customer + "/" + s.Subject
}

// Keys returns what may be to blame for a crash: the parts of the prompt, and the
// request itself.
func (s Suspect) Keys() []string { return append(slices.Clone(s.Parts), s.own()) }

// HeldParts are parts of prompts that crash endpoints. Requests with all of them are
// refused. Mostly it is one part; there are more while they were always together.
type HeldParts struct {
	Parts []string `json:"parts"`
	// Left is how long the parts are still held before one request with them is tried
	// again.
	Left time.Duration `json:"left"`
	// Hold is how long the parts were held in all, from which the next hold follows.
	Hold time.Duration `json:"hold,omitempty"`
}

// Key returns a text that identifies the parts.
func (h HeldParts) Key() string { return strings.Join(h.Parts, " ") }

// Match reports whether a request has all of the parts.
func (h HeldParts) Match(s Suspect) bool { return s.hasAll(h.Parts) }

func (s Suspect) hasAll(parts []string) bool {
	keys := s.Keys()
	return !slices.ContainsFunc(parts, func(part string) bool { return !slices.Contains(keys, part) })
}

type rememberedCrash struct {
	id       string
	at       Instant
	suspects []Suspect
}

// incriminates reports whether a part is in one of the suspects.
func (c *rememberedCrash) incriminates(part string) bool {
	return slices.ContainsFunc(c.suspects, func(s Suspect) bool { return slices.Contains(s.Parts, part) || s.own() == part })
}

// clear removes a part from the suspects. The suspects may be shared with messages, so
// they are copied when they change.
func (c *rememberedCrash) clear(part string) {
	for i, s := range c.suspects {
		if s.own() == part {
			c.suspects = slices.Delete(slices.Clone(c.suspects), i, i+1)
			return
		}
		if at := slices.Index(s.Parts, part); at >= 0 {
			c.suspects[i].Parts = slices.Delete(slices.Clone(s.Parts), at, at+1)
		}
	}
}
