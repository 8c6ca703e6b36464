package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Faults are the faults that can be injected with POST /faults.
type Faults struct {
	// CutAfter is the number of tokens after which each stream breaks off; zero
	// means that streams are completed.
	CutAfter int `json:"cut-after"`
	// EndInEvent makes a stream with CutAfter end regularly, in the middle of the
	// event after its last token.
	EndInEvent bool `json:"end-in-event"`
	// Resume is how the engine answers requests that carry Resume-Offset. Their
	// streams are not cut.
	Resume ResumeFault `json:"resume"`
	// CrashPart is a part of prompts on which the engine crashes when it would begin to
	// answer: all its connections break. It is back at once.
	CrashPart string `json:"crash-part"`
	// RateLimit is the limit that the engine names in its answers, in requests per
	// second; empty means that it names none.
	RateLimit string `json:"rate-limit"`
	// Slow multiplies the duration of each step if it is greater than 1.
	Slow float64 `json:"slow"`
	// Freeze stops all decoding and keeps the connections open.
	Freeze bool `json:"freeze"`
	// Refuse makes the engine answer 503 with the header Not-Run.
	Refuse bool `json:"refuse"`
	// Crossed makes the engine answer with a wrong attempt id, as if the answer
	// belonged to another request.
	Crossed bool `json:"crossed"`
	// Leaving is reported by GET /load and means that the engine is shutting down.
	Leaving bool `json:"leaving"`
}

// ResumeFault is a wrong way to answer a request that carries Resume-Offset. Empty
// means that the answer begins at the offset.
type ResumeFault string

// The values of ResumeFault.
const (
	// ResumeError answers 500 with a body.
	ResumeError ResumeFault = "error"
	// ResumeText answers 200 with the whole text as a plain body.
	ResumeText ResumeFault = "text"
	// ResumeStart begins the stream at its first token and states no offset.
	ResumeStart ResumeFault = "start"
	// ResumeEnd ends the stream regularly without its final event.
	ResumeEnd ResumeFault = "end"
)

// UnknownResumeFaultError reports a value that is no ResumeFault.
type UnknownResumeFaultError struct{ Value string }

func (e *UnknownResumeFaultError) Error() string {
	return fmt.Sprintf("resume: %q is no fault; use %q, %q, %q, %q or leave it out",
		e.Value, ResumeError, ResumeText, ResumeStart, ResumeEnd)
}

// UnmarshalText accepts the values of ResumeFault.
func (f *ResumeFault) UnmarshalText(data []byte) error {
	switch value := ResumeFault(data); value {
	case "", ResumeError, ResumeText, ResumeStart, ResumeEnd:
		*f = value
		return nil
	default:
		return &UnknownResumeFaultError{Value: string(data)}
	}
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// forOffset returns the faults of a request with this offset.
func (f Faults) forOffset(offset int) Faults {
	switch {
	case offset == 0:
		f.Resume = ""
	case f.Resume != "":
		f.CutAfter = 0
	}
	return f
}

// crashesOn reports whether the engine crashes when it begins to answer a request.
func (f Faults) crashesOn(r *http.Request) bool {
	for part := range strings.SplitSeq(r.Header.Get(partsHeader), ",") {
		if id, _, _ := strings.Cut(part, ":"); f.CrashPart != "" && strings.TrimSpace(id) == f.CrashPart {
			return true
		}
	}
	return false
}

// nextCrash returns a channel that is closed at the next crash.
func (e *Engine) nextCrash() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
}

// cut ends a stream before its end: by closing the connection, or regularly.
func (f Faults) cut(w io.Writer) {
	if !f.EndInEvent {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, `data: {"index"`)
}
