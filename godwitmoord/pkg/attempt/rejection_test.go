package attempt_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/exchange"
	"godwitmoor.example/godwitmoord/pkg/attempt"
	"godwitmoor.example/platform"
	"godwitmoor.example/platform/platformtest"
)

// sendOrder sends an order that may run only once, and returns what became of it.
func sendOrder(t *testing.T, sender *attempt.Sender, address, id string) (body string, err error) {
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	answer, err := sender.Send(ctx, address, attempt.Request{
		Method: http.MethodPost, Target: "/order/7", Header: http.Header{"Godwitmoor-Attempt-Id": {id}}, Body: []byte("an order"), MayReuseConnection: true, RunsOnce: true,
		EchoesAttempt: true, EndpointRequest: exchange.EndpointRequest{Attempt: id, Endpoint: "desk-1"},
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	data, err := io.ReadAll(answer.Body)
	return string(data), err
}

func TestRepeatedRejectionTellsThatAnOrderDidNotRunThatRuns(t *testing.T) {
	for _, repetition := range platformtest.Repetitions() {
		if !repetition.Detectable() {
			continue
		}
		t.Run(repetition.String(), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			worker, err := platformtest.StartRejectingWorker(repetition)
			is.NoErr(err)
			t.Cleanup(worker.Close)
			sender := &attempt.Sender{Dialect: platform.Dialect{}}
			for n := range 4 {
				id := fmt.Sprintf("order-%d", n)
				body, err := sendOrder(t, sender, worker.Address(), id)
				ran := slices.Contains(worker.Runs(), id)
				notSent := errors.HasType(err, (*attempt.NotSentError)(nil))
				is.True(!notSent || !ran)               // told as not run
				is.True(err != nil || body == id)       // another request's answer
				is.True(n > 0 || notSent || err == nil) // a true rejection is believed
			}
		})
	}
}
