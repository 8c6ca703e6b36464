package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"godwitmoor.example/standin/pkg/answer"
)

const (
	maxEventLine = 1 << 20
	finalData    = "[DONE]"
	// maxFaultBytes bounds the part of a wrong line that an outcome quotes.
	maxFaultBytes = 80
)

type tokenEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// eventStream compares an event stream, line by line, with the answer that the
// stand-in engine derives from a prompt.
type eventStream struct {
	digest uint64
	// tokens is the number of tokens that arrived, done is set by the final event.
	tokens int
	done   bool
	// fault is the beginning of the first line that does not belong to the answer, or
	// not where it stands.
	fault string
}

// readEvents reads an event stream to its end. A body that ends regularly is an
// answer, whatever it holds, because only the final event tells a caller that it is
// incomplete, and not every caller looks for that.
func (c *call) readEvents(body io.Reader, o *Outcome) error {
	o.Result = "broken-off"
	s := &eventStream{digest: answer.Digest(c.request.Prompt)}
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventLine)
	for scanner.Scan() {
		s.add(scanner.Text())
		if o.FirstAt.IsZero() && (s.tokens > 0 || s.done) {
			o.FirstAt = time.Now()
		}
	}
	if s.done || scanner.Err() == nil {
		o.Result = "answered"
		o.Correct = s.done && s.fault == "" && s.tokens == c.request.Answer
	}
	if !o.Correct {
		o.Reason = fmt.Sprintf("%d of %d tokens, final event: %v, first wrong line: %q", s.tokens, c.request.Answer, s.done, s.fault)
	}
	return scanner.Err()
}

// add adds the next line of the stream.
func (s *eventStream) add(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch name {
	case "", "id", "event", "retry":
		// The end of an event, a comment, or a field that holds no token.
	case "data":
		s.addData(line, strings.TrimPrefix(value, " "))
	default:
		s.setFault(line)
	}
}

func (s *eventStream) addData(line, data string) {
	if s.done {
		s.setFault(line)
	}
	if data == finalData {
		s.done = true
		return
	}
	var event tokenEvent
	err := json.Unmarshal([]byte(data), &event)
	if err != nil || event.Index != s.tokens || event.Text != answer.Token(s.digest, s.tokens) {
		s.setFault(line)
	}
	s.tokens++
}

func (s *eventStream) setFault(line string) {
	if s.fault == "" {
		s.fault = line[:min(len(line), maxFaultBytes)]
	}
}
