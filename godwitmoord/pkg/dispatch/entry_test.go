package dispatch

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/godwitmoord/pkg/release"
)

func TestGrantToAnEarlierIncarnationDoesNotEndAHostWithoutAConfiguration(t *testing.T) {
	is := is.New(t)
	o := ownerOnPlatform()
	o.release = release.New(o.common, nil)
	e := NewEntry(o.common)
	e.localOwner = o
	message, err := cbor.Marshal(ownerMessage{ID: "ask-1", Endpoint: "engine-1"})
	is.NoErr(err)
	is.NoErr(e.receive(host.Identity{Name: "entry-2", Incarnation: 1}, message))
}
