package serving

import (
	"net/http"

	"godwitmoor.example/coordination/pkg/permit"
)

// comparedRoute returns the route of the request for its owner, which compares versions
// of endpoints' software by route where there are rollouts. Elsewhere it is empty.
func (r *requestRun) comparedRoute() string {
	if !r.service.common.RollsOut() {
		return ""
	}
	return r.request.Route
}

// withStatus returns the usage of an attempt with what the status of its answer says, where
// there are rollouts.
func (r *requestRun) withStatus(u permit.Usage, status int) permit.Usage {
	u.Error = r.service.common.RollsOut() && status >= http.StatusInternalServerError
	return u
}
