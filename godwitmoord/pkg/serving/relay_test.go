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

// reader is a caller that stores the answer it receives.
type reader struct {
	status int
	got    strings.Builder
}

func (r *reader) Begin(status int, _ http.Header) { r.status = status }

func (r *reader) Part(data []byte) error {
	r.got.Write(data)
	return nil
}

// cutBody is a body that returns its text and then fails instead of ending.
type cutBody struct{ text io.Reader }

func (b cutBody) Read(into []byte) (int, error) {
	n, err := b.text.Read(into)
	if errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

func streamOf(body io.Reader) *attempt.Answer {
	return &attempt.Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: body}
}

func TestStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	is := is.New(t)
	var caller reader
	l := relay{caller: &caller, streams: true}
	err := l.pass(streamOf(cutBody{strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nid: 3\nda")}))
	is.True(err != nil)
	is.Equal(l.lastEvent, "2") // not the 9: it is part of an event's data
	is.Equal(caller.got.String(), "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\n")
	is.NoErr(l.pass(streamOf(strings.NewReader("id: 3\ndata: c\n\n"))))
	is.Equal(caller.got.String(), "id: 1\ndata: a\n\nid: 2\ndata: id: 9\n\nid: 3\ndata: c\n\n")
	is.Equal(l.lastEvent, "3")
	is.Equal(l.events, 3)
}

func TestWholeStreamIsPassedOnToItsLastByte(t *testing.T) {
	is := is.New(t)
	var caller reader
	l := relay{caller: &caller, streams: true}
	is.NoErr(l.pass(streamOf(strings.NewReader("id: 1\ndata: a\n\ntrailer"))))
	is.Equal(caller.got.String(), "id: 1\ndata: a\n\ntrailer")
}

func TestMarkedStreamThatEndsWithoutItsMarkIsShort(t *testing.T) {
	is := is.New(t)
	var caller reader
	l := relay{caller: &caller, streams: true, marked: true}
	err := l.pass(streamOf(strings.NewReader("data: a\n\n")))
	is.True(errors.Is(err, errShort))
	is.NoErr(l.pass(streamOf(strings.NewReader("data: b\n\ndata: [DONE]\n\n"))))
}
