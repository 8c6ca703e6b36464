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
