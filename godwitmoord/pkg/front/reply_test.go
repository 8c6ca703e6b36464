package front

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"godwitmoor.example/godwitmoord/pkg/serving"
	"godwitmoor.example/godwitmoord/pkg/text"
)

func TestStatusImpliesNotRunOnlyIfTheRequestDidNotRun(t *testing.T) {
	is := is.New(t)
	notRunStatuses := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	reasons := []text.Reason{text.OverQuota, text.QueueFull, text.NoEndpoint, text.Deadline, text.AnswerLost, text.AnswerCrossed, text.KeysUnconfirmed}
	for _, reason := range reasons {
		status := statusOf(serving.Refused{Outcome: text.Unknown, Reason: reason})
		for _, notRunStatus := range notRunStatuses {
			is.True(status != notRunStatus)
		}
	}
	is.Equal(statusOf(serving.Refused{Outcome: text.NotRun, Reason: text.OverQuota}), http.StatusTooManyRequests)
	is.Equal(statusOf(serving.Refused{Outcome: text.NotRun, Reason: text.QueueFull}), http.StatusServiceUnavailable)
	is.Equal(statusOf(serving.Refused{Outcome: text.Unknown, Reason: text.Deadline}), http.StatusGatewayTimeout)
}
