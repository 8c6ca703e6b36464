package permit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

// queuedIn returns the IDs that actions announce to a host.
func queuedIn(actions []permit.Action, host string) []string {
	var ids []string
	for _, action := range actions {
		if queued, isQueued := action.(permit.Queued); isQueued && queued.Host == host {
			ids = append(ids, queued.IDs...)
		}
	}
	return ids
}

func TestHostIsToldOnceWhichOfItsRequestsWait(t *testing.T) {
	is := is.New(t)
	var core permit.Core
	core.Step(permit.Configured{At: start, QueueLimit: 10, Endpoints: []permit.EndpointRules{{Name: "engine-1", Limit: 1}}})
	for _, id := range []string{"a", "b", "c"} {
		goal := start.After(400 * time.Millisecond)
		core.Step(permit.Asked{At: start, Ask: permit.Ask{ID: id, Host: "entry-" + id, Deadline: start.After(time.Minute), Goal: goal, Patience: start.After(10 * time.Second)}})
	}
	early := core.Step(permit.Ticked{At: start.After(100 * time.Millisecond)})
	is.Equal(len(queuedIn(early, "entry-b")), 0) // most are decided by then
	inTime := core.Step(permit.Ticked{At: start.After(200 * time.Millisecond)})
	is.Equal(queuedIn(inTime, "entry-b"), []string{"b"})
	is.Equal(queuedIn(inTime, "entry-c"), []string{"c"})
	is.Equal(len(queuedIn(inTime, "entry-a")), 0) // it was granted
	again := core.Step(permit.Ticked{At: start.After(300 * time.Millisecond)})
	is.Equal(len(queuedIn(again, "entry-b")), 0)
}
