package membership

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/reply"
)

const (
	listInterval = time.Second
	listTimeout  = 2 * time.Second
	maxListBytes = 4 << 20
	// Values of role and state in the platform's host list.
	entryRole    = "entry"
	endpointRole = "endpoint"
	liveState    = "live"
	leavingState = "leaving"
)

// hostListItem is one element of the platform's host list.
type hostListItem struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Role    string `json:"role"`
	State   string `json:"state"`
}

// ListedHost is a host that exists according to a source other than the host list.
type ListedHost struct {
	// Name is the host's name; empty if it is unknown.
	Name string
	// Address is the host's address for peer calls, IP:PORT.
	Address string
}

// SetListedHosts replaces the listed hosts. It serves in place of a host list
// when none is configured.
func (s *Service) SetListedHosts(hosts []ListedHost) {
	listed := make([]hostListItem, len(hosts))
	for i, h := range hosts {
		listed[i] = hostListItem{Name: h.Name, Address: h.Address, Role: entryRole, State: liveState}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = listed
}

// lister reads the platform's host list at regular intervals.
type lister struct{ service *Service }

func (l *lister) run(ctx context.Context) {
	for {
		listed, err := l.read(ctx)
		if err != nil {
			l.service.common.Count("membership.list.failed")
		} else {
			l.service.mu.Lock()
			l.service.listed = listed
			l.service.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listInterval):
		}
	}
}

func (l *lister) read(ctx context.Context) ([]hostListItem, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.service.common.Settings.HostListURL+"/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "create the request for the host list")
	}
	response, err := l.service.client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "request the host list")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("the host list returned status %s; check that host-list-url is its URL", response.Status)
	}
	data, err := reply.Read(response.Body, maxListBytes)
	if err != nil {
		return nil, errors.Wrap(err, "read the host list")
	}
	var listed []hostListItem
	if err := json.Unmarshal(data, &listed); err != nil {
		return nil, errors.Wrap(err, "decode the host list")
	}
	if listed == nil {
		return nil, errors.New("the host list is null; an empty one is []")
	}
	return listed, nil
}

// EndpointHostLeaving reports whether the host list marks the endpoint host at the
// address as leaving.
func (s *Service) EndpointHostLeaving(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.listed, func(l hostListItem) bool {
		return l.Role == endpointRole && l.Address == address && l.State == leavingState
	})
}

// othersListed reports whether the list names other hosts that run godwitmoord;
// s.mu is held.
func (s *Service) othersListed() bool {
	return slices.ContainsFunc(s.listed, func(l hostListItem) bool { return l.Role == entryRole && l.Name != s.self.row.Name })
}
