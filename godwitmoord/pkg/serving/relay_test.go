package serving

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/attempt"
)

// recordingCaller is a caller that stores the answer it receives.
type recordingCaller struct {
	status int
	got    strings.Builder
}

func (r *recordingCaller) WriteHead(status int, _ http.Header) { r.status = status }

func (r *recordingCaller) WritePart(data []byte) error {
	r.got.Write(data)
	return nil
}

// truncatedBody is a body that returns its text and then fails instead of ending.
type truncatedBody struct{ text io.Reader }

func (b truncatedBody) Read(into []byte) (int, error) {
	n, err := b.text.Read(into)
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func streamAnswer(body io.Reader) *attempt.Answer {
	return &attempt.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: body}
}

func TestStreamResumesAfterTheLastWholeEvent(t *testing.T) {
	is := is.New(t)
	var caller recordingCaller
	r := relay{caller: &caller, streams: true, resumesByID: true}
	err := r.forward(streamAnswer(truncatedBody{strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nid: 3\nda")}))
	is.True(err != nil)
	is.Equal(r.position.lastEvent, "2") // not the 9: it is part of an event's data
	is.Equal(caller.got.String(), "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\n")
	is.NoErr(r.forward(streamAnswer(strings.NewReader("id: 3\ndata: c\n\n"))))
	is.Equal(caller.got.String(), "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nid: 3\ndata: c\n\n")
	is.Equal(r.position.lastEvent, "3")
	is.Equal(r.position.events, 3)
}

func TestWholeStreamIsForwardedToItsLastByte(t *testing.T) {
	for _, trailer := range []string{"", "\n", ": trailer", ": trailer\n"} {
		is := is.New(t)
		var caller recordingCaller
		r := relay{caller: &caller, streams: true}
		is.NoErr(r.forward(streamAnswer(strings.NewReader("id: 1\ndata: a\n\n" + trailer))))
		is.Equal(caller.got.String(), "id: 1\ndata: a\n\n"+trailer)
	}
}

func TestStreamThatEndsInsideAnEventIsIncompleteAndItsPartIsNotForwarded(t *testing.T) {
	for _, part := range []string{"id: 2\nda", "data: b", "data: b\n", "i", "trailer", ": comment\nid: 2\n"} {
		is := is.New(t)
		var caller recordingCaller
		r := relay{caller: &caller, streams: true, resumesByID: true}
		err := r.forward(streamAnswer(strings.NewReader("id: 1\ndata: a\n\n" + part)))
		is.True(errors.Is(err, errStreamIncomplete))
		is.Equal(caller.got.String(), "id: 1\ndata: a\n\n")
		is.True(r.canContinue())
	}
}

func TestStreamThatEndsWithItsConnectionBeforeAnyEventIsIncomplete(t *testing.T) {
	for body, events := range map[string]int{"": 0, ": comment\n\n": 0, "id: 1\ndata: a\n\n": 1} {
		is := is.New(t)
		var caller recordingCaller
		r := relay{caller: &caller, streams: true, resumesByID: true}
		answer := streamAnswer(strings.NewReader(body))
		answer.EndsWithConnection = true
		err := r.forward(answer)
		is.Equal(err == nil, events > 0)
		is.Equal(errors.Is(err, errStreamIncomplete), events == 0)
	}
}

func TestStreamThatEndsWithoutItsFinalEventIsIncomplete(t *testing.T) {
	is := is.New(t)
	var caller recordingCaller
	r := relay{caller: &caller, streams: true, hasFinalEvent: true}
	err := r.forward(streamAnswer(strings.NewReader("data: a\n\n")))
	is.True(errors.Is(err, errStreamIncomplete))
	rest := streamAnswer(strings.NewReader("data: b\n\ndata: [DONE]\n\n"))
	rest.Offset = 1
	is.NoErr(r.forward(rest))
	is.Equal(caller.got.String(), "data: a\n\ndata: b\n\ndata: [DONE]\n\n")
}

func TestTextOfTheFinalEventInsideAnotherDoesNotEndTheStream(t *testing.T) {
	for _, data := range []string{`data: {"text": "data: [DONE]"}`, "data: data: [DONE]", "data: a\ndata: [DONE]", "note: [DONE]\ndata: a"} {
		is := is.New(t)
		var caller recordingCaller
		r := relay{caller: &caller, streams: true, hasFinalEvent: true}
		err := r.forward(streamAnswer(strings.NewReader(data + "\n\n")))
		is.True(errors.Is(err, errStreamIncomplete))
	}
}

func TestAnswerThatDoesNotContinueTheStreamIsNotForwarded(t *testing.T) {
	text := http.Header{"Content-Type": {"text/plain"}}
	events := http.Header{"Content-Type": {"Text/Event-Stream; charset=utf-8"}}
	for name, test := range map[string]struct {
		byID   bool
		answer attempt.Answer
		body   string
	}{
		"error":                    {true, attempt.Answer{Status: 500, Header: events}, "id: 3\ndata: c\n\n"},
		"no content":               {true, attempt.Answer{Status: 204, Header: events}, ""},
		"text":                     {true, attempt.Answer{Status: 200, Header: text}, "id: 3\ndata: c\n\n"},
		"no type":                  {true, attempt.Answer{Status: 200, Header: http.Header{}}, ""},
		"first event again":        {true, attempt.Answer{Status: 200, Header: events}, "id: 1\ndata: a\n\n"},
		"last event again":         {true, attempt.Answer{Status: 200, Header: events}, ": hello\n\nid: 2\ndata: b\n\n"},
		"event without id":         {true, attempt.Answer{Status: 200, Header: events}, "data: c\n\n"},
		"empty id":                 {true, attempt.Answer{Status: 200, Header: events}, "id:\ndata: c\n\n"},
		"id that is no number":     {true, attempt.Answer{Status: 200, Header: events}, "id: c\ndata: c\n\n"},
		"no event":                 {true, attempt.Answer{Status: 200, Header: events}, ""},
		"comments only":            {true, attempt.Answer{Status: 200, Header: events}, ": hello\n\n: bye\n"},
		"no offset":                {false, attempt.Answer{Status: 200, Header: events}, "data: c\n\ndata: [DONE]\n\n"},
		"another offset":           {false, attempt.Answer{Status: 200, Header: events, Offset: 1}, "data: c\n\ndata: [DONE]\n\n"},
		"error that states offset": {false, attempt.Answer{Status: 503, Header: events, Offset: 2}, "data: [DONE]\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var caller recordingCaller
			r := relay{caller: &caller, streams: true, resumesByID: test.byID, hasFinalEvent: !test.byID}
			begun := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
			is.True(r.forward(streamAnswer(truncatedBody{strings.NewReader(begun)})) != nil)
			r.beginAttempt(nil)
			test.answer.Body = strings.NewReader(test.body)
			err := r.forward(&test.answer)
			var notContinued *NotContinuedError
			is.True(errors.As(err, &notContinued))
			is.Equal(caller.got.String(), begun)
		})
	}
}

func TestContinuedStreamGoesNoFurtherThanItsIDsIncrease(t *testing.T) {
	for _, next := range []string{"id: 1\ndata: a\n\n", "id: 3\ndata: c\n\n", "data: c\n\n", "id: x\ndata: x\n\n"} {
		for _, pause := range []int{1, 64} {
			is := is.New(t)
			var caller recordingCaller
			r := relay{caller: &caller, streams: true, resumesByID: true}
			begun := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
			is.True(r.forward(streamAnswer(truncatedBody{strings.NewReader(begun)})) != nil)
			r.beginAttempt(nil)
			rest := strings.NewReader("id: 3\ndata: c\n\n" + next)
			err := r.forward(streamAnswer(io.MultiReader(io.LimitReader(rest, int64(pause)), rest)))
			is.True(errors.HasType(err, (*NotContinuedError)(nil)))
			is.True(caller.got.String() == begun || caller.got.String() == begun+"id: 3\ndata: c\n\n")
		}
	}
}

func TestStreamWithIDsThatAreNoNumbersIsNotResumedByThem(t *testing.T) {
	is := is.New(t)
	var caller recordingCaller
	r := relay{caller: &caller, streams: true, resumesByID: true}
	begun := "id: e1\ndata: a\n\nid: e2\ndata: b\n\n"
	is.True(r.forward(streamAnswer(truncatedBody{strings.NewReader(begun)})) != nil)
	r.beginAttempt(nil)
	is.True(r.forward(streamAnswer(strings.NewReader("id: e1\ndata: a\n\nid: e2\ndata: b\n\n"))) != nil)
	is.Equal(caller.got.String(), begun)
}

func TestCommentsOfAFirstAnswerAreForwarded(t *testing.T) {
	is := is.New(t)
	var caller recordingCaller
	r := relay{caller: &caller, streams: true, resumesByID: true}
	text := ": one\n\n: two\n\nid: 1\ndata: a\n\n: three\n\n"
	is.NoErr(r.forward(streamAnswer(iotest.OneByteReader(strings.NewReader(text)))))
	is.Equal(caller.got.String(), text)
}

func TestEventsAreFoundWhateverTheirLineEnds(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		is := is.New(t)
		var caller recordingCaller
		r := relay{caller: &caller, streams: true, resumesByID: true}
		text := strings.ReplaceAll(": hello\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n", "\n", lineEnd)
		err := r.forward(streamAnswer(iotest.OneByteReader(truncatedBody{strings.NewReader(text + "id: 3" + lineEnd)})))
		is.True(err != nil)
		is.Equal(strings.TrimRight(caller.got.String(), "\r\n"), strings.TrimRight(text, "\r\n"))
		is.Equal(r.position, streamPosition{events: 2, lastEvent: "2"})
	}
	is := is.New(t)
	var caller recordingCaller
	r := relay{caller: &caller, streams: true}
	is.NoErr(r.forward(streamAnswer(strings.NewReader("id: 1\ndata: a\n\r\nid: 2\r\ndata: b\r\n\n")))) // mixed ends
	is.Equal(r.position, streamPosition{events: 2, lastEvent: "2"})
}

func TestStreamIsContinuedAfterTheCallersOwnLastEvent(t *testing.T) {
	is := is.New(t)
	var caller recordingCaller
	r := relay{caller: &caller, streams: true, resumesByID: true}
	r.position.lastEvent = "7"
	err := r.forward(streamAnswer(strings.NewReader("id: 1\ndata: a\n\n")))
	is.True(errors.HasType(err, (*NotContinuedError)(nil)))
	is.Equal(caller.status, 0) // another endpoint can still answer
	r.beginAttempt(nil)
	is.True(r.forward(streamAnswer(truncatedBody{strings.NewReader("id: 8\ndata: h\n\n")})) != nil)
	r.beginAttempt(nil)
	is.NoErr(r.forward(streamAnswer(strings.NewReader("id: 9\ndata: i\n\n"))))
	is.Equal(caller.got.String(), "id: 8\ndata: h\n\nid: 9\ndata: i\n\n")
}

func TestStreamWhosePositionIsUnknownCannotContinue(t *testing.T) {
	for _, begun := range []string{"data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n"} {
		is := is.New(t)
		var caller recordingCaller
		r := relay{caller: &caller, streams: true, resumesByID: true}
		is.True(r.forward(streamAnswer(truncatedBody{strings.NewReader(begun)})) != nil)
		is.True(!r.canContinue())
	}
}

func TestCommentsAndLineEndsDoNotMoveThePosition(t *testing.T) {
	is := is.New(t)
	var caller recordingCaller
	r := relay{caller: &caller, streams: true}
	begun := ": hello\r\n\r\nid: 1\r\ndata: a\r\n\r\n: still here\r\n\r\n"
	is.True(r.forward(streamAnswer(truncatedBody{strings.NewReader(begun + "id: 2\r\n")})) != nil)
	is.Equal(caller.got.String(), begun)
	is.Equal(r.position, streamPosition{events: 1, lastEvent: "1"})
}

func TestCompressedStreamIsForwardedAsItComes(t *testing.T) {
	for _, hasFinalEvent := range []bool{false, true} {
		is := is.New(t)
		var caller recordingCaller
		r := relay{caller: &caller, streams: true, resumesByID: !hasFinalEvent, hasFinalEvent: hasFinalEvent}
		answer := streamAnswer(strings.NewReader("compressed"))
		answer.Header.Set("Content-Encoding", "gzip")
		is.NoErr(r.forward(answer))
		is.Equal(caller.got.String(), "compressed")
		is.True(!r.canContinue())
	}
}

func TestPlainAnswerThatBrokeOffCannotContinue(t *testing.T) {
	is := is.New(t)
	var caller recordingCaller
	r := relay{caller: &caller, streams: true, resumesByID: true}
	r.position.lastEvent = "7"
	text := &attempt.Answer{Status: http.StatusOK, Header: http.Header{}, Body: truncatedBody{strings.NewReader("half")}}
	is.True(r.forward(text) != nil)
	is.True(!r.canContinue())
	r.beginAttempt(nil)
	err := r.forward(streamAnswer(strings.NewReader("id: 8\ndata: h\n\n")))
	is.True(errors.HasType(err, (*NotContinuedError)(nil)))
	is.Equal(caller.got.String(), "half")
}
