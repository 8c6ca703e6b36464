package replytest

import (
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/reply"
)

const (
	// callsAtOnce is how many calls a check makes at the same time.
	callsAtOnce = 8
	// maxAllocatedForHeader is what a call may allocate for a response header of
	// reply.MaxHeaderBytes, in bytes.
	maxAllocatedForHeader = 1 << 20
)

// Client is a client whose calls meet responses without an end.
type Client struct {
	// Reply is a complete reply to a call.
	Reply string
	// Call makes one call to a server and returns its error.
	Call func(server *Server) error
	// Failed reports whether an error is one that the client should return; nil
	// accepts every error.
	Failed func(error) bool
	// MaxWait is how long calls may last, and Pause the pause between the parts of a
	// slow response.
	MaxWait, Pause time.Duration
}

// CheckHeaders checks that headers without an end cost little memory and end in an
// error and a closed connection.
func (c Client) CheckHeaders(t *testing.T) {
	for _, r := range Endless(c.Reply) {
		if !r.Header {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			server := r.Start(t, 0)
			var errs []error
			allocated := Allocated(func() { errs = c.callAtOnce(server) })
			t.Logf("%d bytes allocated a call", allocated/callsAtOnce)
			is.New(t).True(allocated < callsAtOnce*maxAllocatedForHeader)
			c.checkFailed(t, errs)
			server.AwaitClosed(t)
		})
	}
}

// CheckBodies checks that bodies without an end are not taken as complete and end in
// an error that names the limit, where there is data without end, and in a closed
// connection.
func (c Client) CheckBodies(t *testing.T) {
	for _, r := range Endless(c.Reply) {
		if r.Header {
			continue
		}
		t.Run(r.Name, func(t *testing.T) {
			server := r.Start(t, 0)
			errs := c.callAtOnce(server)
			c.checkFailed(t, errs)
			for _, err := range errs {
				hasData := r.Name == "body" || r.Name == "chunks"
				is.New(t).True(!hasData || errors.HasType(err, (*reply.TooLargeError)(nil)))
			}
			server.AwaitClosed(t)
		})
	}
}

// CheckSlow checks that slow responses without an end do not hold a call for longer
// than MaxWait, and end in an error and a closed connection.
func (c Client) CheckSlow(t *testing.T) {
	for _, r := range Endless(c.Reply) {
		t.Run(r.Name, func(t *testing.T) {
			t.Parallel()
			server := r.Start(t, c.Pause)
			started := time.Now()
			errs := c.callAtOnce(server)
			is.New(t).True(time.Since(started) < c.MaxWait)
			c.checkFailed(t, errs)
			server.AwaitClosed(t)
		})
	}
}

// callAtOnce makes several calls at the same time and returns their errors.
func (c Client) callAtOnce(server *Server) []error {
	errs := make([]error, callsAtOnce)
	var calls sync.WaitGroup
	for i := range errs {
		calls.Go(func() { errs[i] = c.Call(server) })
	}
	calls.Wait()
	return errs
}

func (c Client) checkFailed(t *testing.T, errs []error) {
	t.Helper()
	is := is.New(t)
	for _, err := range errs {
		is.True(err != nil)
		is.True(c.Failed == nil || c.Failed(err))
	}
}
