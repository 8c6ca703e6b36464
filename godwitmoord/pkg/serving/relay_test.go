package serving

import (
	"io"
	"net/http"
	"strings"
	"testing"

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
	r := relay{caller: &caller, streams: true}
	err := r.forward(streamAnswer(truncatedBody{strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nid: 3\nda")}))
	is.True(err != nil)
	is.Equal(r.lastEvent, "2") // not the 9: it is part of an event's data
	is.Equal(caller.got.String(), "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\n")
	is.NoErr(r.forward(streamAnswer(strings.NewReader("id: 3\ndata: c\n\n"))))
	is.Equal(caller.got.String(), "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nid: 3\ndata: c\n\n")
	is.Equal(r.lastEvent, "3")
	is.Equal(r.events, 3)
}

func TestWholeStreamIsForwardedToItsLastByte(t *testing.T) {
	is := is.New(t)
	var caller recordingCaller
	r := relay{caller: &caller, streams: true}
	is.NoErr(r.forward(streamAnswer(strings.NewReader("id: 1\ndata: a\n\ntrailer"))))
	is.Equal(caller.got.String(), "id: 1\ndata: a\n\ntrailer")
}

func TestStreamThatEndsWithoutItsFinalEventIsIncomplete(t *testing.T) {
	is := is.New(t)
	var caller recordingCaller
	r := relay{caller: &caller, streams: true, hasFinalEvent: true}
	err := r.forward(streamAnswer(strings.NewReader("data: a\n\n")))
	is.True(errors.Is(err, errStreamIncomplete))
	is.NoErr(r.forward(streamAnswer(strings.NewReader("data: b\n\ndata: [DONE]\n\n"))))
}
