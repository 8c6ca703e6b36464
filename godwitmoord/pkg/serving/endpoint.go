package serving

import (
	"fmt"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/godwitmoord/pkg/dispatch"
)

// endpointStates tells and learns of endpoints what their entries don't say yet.
type endpointStates interface {
	// ReportLeaving records that an endpoint which started at born said itself that it
	// is leaving.
	ReportLeaving(endpoint string, born int64)
	// TellEndpoint tells another host what this one knows of an endpoint.
	TellEndpoint(host, endpoint string)
}

// errUnlisted is the cause why an endpoint is not used that is in no configuration.
var errUnlisted = errors.New("the endpoint is no longer in the configuration")

// WithheldError reports that this host does not send to an endpoint that the owner
// granted, because it knows better.
type WithheldError struct{ Endpoint, Reason string }

func (e *WithheldError) Error() string {
	return fmt.Sprintf("endpoint %s was granted, but it %s; the owner was told", e.Endpoint, e.Reason)
}

// endpointAddress returns the address of the granted endpoint in the configuration in
// force, which may be newer than the one that the request arrived under. If this host
// has not discovered the endpoint yet, the address that the owner sent is used. An
// endpoint that this host knows to be leaving, to have left or to want a pause is a
// *WithheldError, even if the owner granted it, because the owner may learn that later.
func (r *requestRun) endpointAddress(grant *dispatch.Grant) (string, error) {
	endpoint := grant.Permit.Endpoint
	service, known := r.service.release.Current().Configuration.Service(r.request.Service.Name)
	if !known {
		return "", errUnlisted
	}
	e, listed := service.Endpoint(endpoint)
	if !r.request.Keyless {
		if !listed {
			return "", errUnlisted
		}
		return e.Address, nil
	}
	r.endpointBorn = e.Born
	switch {
	case e.Leaving:
		return "", r.withhold(grant, "is leaving")
	case r.service.release.HasLeft(endpoint):
		return "", r.withhold(grant, "has left")
	case grant.PauseLeft() > 0:
		return "", r.withhold(grant, "wants no request from this host now")
	case listed:
		return e.Address, nil
	case grant.Address == "":
		return "", errUnlisted
	}
	r.endpointBorn = grant.Born
	return grant.Address, nil
}

// withhold tells the owner why its grant is not used, and returns the reason as an
// error.
func (r *requestRun) withhold(grant *dispatch.Grant, reason string) error {
	r.service.common.Count("attempts.withheld")
	if r.service.endpoints != nil {
		r.service.endpoints.TellEndpoint(grant.Owner(), grant.Permit.Endpoint)
	}
	return &WithheldError{Endpoint: grant.Permit.Endpoint, Reason: reason}
}
