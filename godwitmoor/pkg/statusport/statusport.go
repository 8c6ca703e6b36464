// Package statusport reads the status ports of hosts.
package statusport

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	callTimeout = 3 * time.Second
	maxReply    = 16 << 20
	// gone is the state of a host that ended without leaving.
	gone = "dead"
)

// Host is one host as another sees it.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Phase      string `json:"phase"`
	Version    int64  `json:"version"`
	State      string `json:"state"`
}

// View is what one host knows of all.
type View struct {
	Host  string `json:"host"`
	Ready bool   `json:"ready"`
	Hosts []Host `json:"hosts"`
}

// Holding gives how many of the live hosts hold the version or a later one.
func (v View) Holding(version int64) (hold, live int) {
	for _, h := range v.Hosts {
		if h.State == gone {
			continue
		}
		live++
		if h.Version >= version {
			hold++
		}
	}
	return hold, live
}

// UnreachableError says that no host gave its status.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no host answers (%v); name the status port of a live host with --host", e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// Any gives the view of the first host that answers.
func Any(ctx context.Context, hosts []string) (View, error) {
	failed := errors.New("no --host was given")
	for _, host := range hosts {
		data, err := Get(ctx, host+"/status")
		if err == nil {
			var view View
			if err = json.Unmarshal(data, &view); err == nil {
				return view, nil
			}
		}
		failed = err
	}
	return View{}, &UnreachableError{Cause: failed}
}

// Get reads one page of a status port.
func Get(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "%q is no URL", url)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s answers %s", url, response.Status)
	}
	return io.ReadAll(io.LimitReader(response.Body, maxReply))
}
