// Package engine is a stand-in for a model engine with continuous batching. It
// admits every request at once, has no priorities, keeps a prefix cache of
// limited size and reports its load with a delay.
//
// It serves POST /v1/completions as a stream of server-sent events. The header
// Resume-Offset starts the answer at a later token, and the answer states the
// token at which it begins in the same header. Closing the connection cancels the
// run.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"godwitmoor.example/standin/pkg/answer"
	"godwitmoor.example/standin/pkg/runlog"
)

const (
	maxBodyBytes  = 16 << 20
	defaultTokens = 16
	offsetHeader  = "Resume-Offset"
	partsHeader   = "Prompt-Parts"
	limitHeader   = "Rate-Limit"
	// prefillChunk is the maximum number of prompt tokens computed in one step,
	// over all sequences of the batch.
	prefillChunk = 2048
	idleInterval = 2 * time.Millisecond
	loadInterval = 100 * time.Millisecond
)

// Config holds the speeds, the cache size and the reporting delay of an engine.
type Config struct {
	// Prefill is the prefill speed in prompt tokens/s.
	Prefill float64
	// Step is the duration of a decode step with one request in the batch.
	// StepEach is added for each additional request.
	Step     time.Duration
	StepEach time.Duration
	// CacheTokens is the size of the prefix cache in tokens.
	CacheTokens int
	// LoadLag is the delay of the reported load.
	LoadLag time.Duration
}

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

// Engine simulates one worker of a model service.
type Engine struct {
	config Config
	log    *runlog.Log

	mu          sync.Mutex
	faults      Faults
	crashed     chan struct{}
	arrived     []*sequence
	running     int
	loadHistory []loadSample
	cache       prefixCache
}

type loadSample struct {
	at      time.Time
	running int
}

// sequence is the state of one request in the batch.
type sequence struct {
	digest       uint64
	promptTokens int
	prefillLeft  int
	firstToken   int
	nextToken    int
	maxTokens    int
	prefilled    atomic.Int64
	tokens       chan int
	cancelled    <-chan struct{}
}

// New returns an engine. It decodes nothing before Start is called.
func New(config Config, log *runlog.Log) *Engine {
	return &Engine{config: config, log: log, crashed: make(chan struct{}), cache: prefixCache{limit: config.CacheTokens}}
}

// Start runs the engine in the background until ctx is cancelled.
func (e *Engine) Start(ctx context.Context) {
	go e.loop(ctx)
	go e.run(ctx)
}

// run samples the load at intervals, so that GET /load can report an older
// value.
func (e *Engine) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(loadInterval):
		}
		e.mu.Lock()
		e.loadHistory = append(e.loadHistory, loadSample{at: time.Now(), running: e.running})
		for len(e.loadHistory) > 1 && time.Since(e.loadHistory[1].at) > e.config.LoadLag {
			e.loadHistory = e.loadHistory[1:]
		}
		e.mu.Unlock()
	}
}

// loop runs decode steps and adds new requests to the batch before each step.
func (e *Engine) loop(ctx context.Context) {
	var batch []*sequence
	for ctx.Err() == nil {
		var faults Faults
		batch, faults = e.admitArrived(batch)
		if len(batch) == 0 || faults.Freeze {
			time.Sleep(idleInterval)
			continue
		}
		time.Sleep(e.advancePrefill(batch, faults))
		batch = e.step(batch)
	}
}

func (e *Engine) admitArrived(batch []*sequence) ([]*sequence, Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	batch = append(batch, e.arrived...)
	e.arrived = nil
	return batch, e.faults
}

// advancePrefill computes up to prefillChunk prompt tokens of the batch and
// returns the duration of the step. The prefill of one sequence delays the whole
// batch.
func (e *Engine) advancePrefill(batch []*sequence, faults Faults) time.Duration {
	budget := prefillChunk
	for _, s := range batch {
		chunk := min(budget, s.prefillLeft)
		s.prefillLeft -= chunk
		s.prefilled.Add(int64(chunk))
		budget -= chunk
	}
	prefillSeconds := float64(prefillChunk-budget) / e.config.Prefill
	duration := e.config.Step + time.Duration(len(batch)-1)*e.config.StepEach + time.Duration(prefillSeconds*float64(time.Second))
	if faults.Slow > 1 {
		duration = time.Duration(float64(duration) * faults.Slow)
	}
	return duration
}

func (e *Engine) step(batch []*sequence) []*sequence {
	active := batch[:0]
	for _, s := range batch {
		select {
		case <-s.cancelled:
			close(s.tokens)
			continue
		default:
		}
		if s.prefillLeft > 0 {
			active = append(active, s)
			continue
		}
		if s.nextToken < s.maxTokens {
			s.tokens <- s.nextToken
			s.nextToken++
		}
		if s.nextToken >= s.maxTokens {
			close(s.tokens)
			continue
		}
		active = append(active, s)
	}
	return active
}

type completionRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

type completionChunk struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// ArrivedAt is when the request arrived and At when the token is sent, by the
	// engine's clock in Unix nanoseconds. Measurements subtract the time between
	// the two, which the engine took.
	ArrivedAt int64 `json:"arrived-at"`
	At        int64 `json:"at"`
}

type loadReply struct {
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/faults", e.setFaults)
	r.Get("/load", e.serveLoad)
	r.Post("/v1/completions", e.serveCompletion)
	return r
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

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	reply := loadReply{Leaving: e.faults.Leaving}
	if len(e.loadHistory) > 0 {
		reply.Running = e.loadHistory[0].running
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var request completionRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var offset int
	if text := r.Header.Get(offsetHeader); text != "" {
		if _, err := fmt.Sscan(text, &offset); err != nil || offset < 0 {
			http.Error(w, "Resume-Offset is no number", http.StatusBadRequest)
			return
		}
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultTokens
	}
	faults := e.currentFaults().forOffset(offset)
	if faults.RateLimit != "" {
		w.Header().Set(limitHeader, faults.RateLimit)
	}
	switch {
	case faults.Refuse:
		w.Header().Set("Not-Run", "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	case faults.Resume == ResumeError:
		writeText(w, r, http.StatusInternalServerError, "the run failed")
		return
	case faults.Resume == ResumeText:
		writeText(w, r, http.StatusOK, answer.Text(request.Prompt, request.MaxTokens))
		return
	case faults.Resume == ResumeStart:
		offset = 0
	}
	s := e.enqueue(r, request, offset)
	e.log.Write(runlog.NewLine(r, runlog.Started))
	e.stream(w, r, s, faults)
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

// writeText writes a body that is no stream.
func writeText(w http.ResponseWriter, r *http.Request, status int, text string) {
	w.Header().Set(runlog.AttemptHeader, r.Header.Get(runlog.AttemptHeader))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprint(w, text)
}

func (e *Engine) enqueue(r *http.Request, request completionRequest, offset int) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := answer.PromptTokens(request.Prompt)
	firstToken := min(offset, request.MaxTokens)
	s := &sequence{
		digest:       answer.Digest(request.Prompt),
		promptTokens: tokens,
		prefillLeft:  tokens - e.cache.lookupAndAdd(request.Prompt, tokens),
		firstToken:   firstToken,
		nextToken:    firstToken,
		maxTokens:    request.MaxTokens,
		tokens:       make(chan int, request.MaxTokens),
		cancelled:    r.Context().Done(),
	}
	e.arrived = append(e.arrived, s)
	e.running++
	return s
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, faults Faults) {
	attempt := r.Header.Get(runlog.AttemptHeader)
	if faults.Crossed {
		attempt = "another-" + attempt
	}
	w.Header().Set(runlog.AttemptHeader, attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	if s.firstToken > 0 {
		w.Header().Set(offsetHeader, strconv.Itoa(s.firstToken))
	}
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	arrivedAt := time.Now().UnixNano()
	generated := 0
	crashed := e.nextCrash()
	for {
		select {
		case <-r.Context().Done():
			e.endRun(r, s, runlog.Cancelled, generated)
			return
		case <-crashed:
			e.endRun(r, s, runlog.Cancelled, generated)
			panic(http.ErrAbortHandler)
		case index, more := <-s.tokens:
			if !more {
				if r.Context().Err() != nil {
					e.endRun(r, s, runlog.Cancelled, generated)
					return
				}
				e.endRun(r, s, runlog.Finished, generated)
				if faults.Resume != ResumeEnd {
					fmt.Fprint(w, "data: [DONE]\n\n")
				}
				return
			}
			if faults.crashesOn(r) {
				e.crash()
				continue
			}
			generated++
			data, err := json.Marshal(completionChunk{
				Index: index, Text: answer.Token(s.digest, index), ArrivedAt: arrivedAt, At: time.Now().UnixNano(),
			})
			if err != nil {
				panic(err)
			}
			fmt.Fprintf(w, "data: %s\n\n", data)
			_ = control.Flush()
			if faults.CutAfter > 0 && generated >= faults.CutAfter {
				e.endRun(r, s, runlog.Cancelled, generated)
				faults.cut(w)
				return
			}
		}
	}
}

// cut ends a stream before its end: by closing the connection, or regularly.
func (f Faults) cut(w io.Writer) {
	if !f.EndInEvent {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprint(w, `data: {"index"`)
}

func (e *Engine) endRun(r *http.Request, s *sequence, phase runlog.Phase, generated int) {
	e.mu.Lock()
	e.running--
	prefilled := int(s.prefilled.Load())
	e.mu.Unlock()
	line := runlog.NewLine(r, phase)
	line.Prefilled = prefilled
	line.Generated = generated
	e.log.Write(line)
}

// prefixCache holds the most recently used prompts, up to limit tokens. Only a
// repetition of the whole prompt is a hit.
type prefixCache struct {
	limit  int
	used   int
	recent []cachedPrompt
}

type cachedPrompt struct {
	digest uint64
	tokens int
}

// lookupAndAdd returns the number of tokens of the prompt that are cached, and
// makes the prompt the most recently used one.
func (p *prefixCache) lookupAndAdd(prompt string, tokens int) int {
	digest := answer.Digest(prompt)
	cached := 0
	for i, c := range p.recent {
		if c.digest == digest {
			cached = c.tokens
			p.used -= c.tokens
			p.recent = append(p.recent[:i], p.recent[i+1:]...)
			break
		}
	}
	p.recent = append(p.recent, cachedPrompt{digest: digest, tokens: tokens})
	p.used += tokens
	for p.used > p.limit && len(p.recent) > 0 {
		p.used -= p.recent[0].tokens
		p.recent = p.recent[1:]
	}
	return min(cached, tokens)
}
