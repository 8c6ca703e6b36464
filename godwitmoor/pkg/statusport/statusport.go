// Package statusport is a client for the status ports of hosts.
package statusport

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/reply"
)

const (
	callTimeout      = 3 * time.Second
	maxResponseBytes = 16 << 20
	// stateDead is the state of a host that ended without leaving the membership.
	stateDead = "dead"
)

var client = &http.Client{Transport: reply.NewTransport()}

// Host is the state of one host as reported by another.
type Host struct {
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	Phase      string `json:"phase"`
	Version    int64  `json:"version"`
	State      string `json:"state"`
}

// View is one host's view of all hosts.
type View struct {
	Host  string `json:"host"`
	Ready bool   `json:"ready"`
	Hosts []Host `json:"hosts"`
}

// CountInForce returns the number of live hosts on which the version or a later one
// is in force, and the number of all live hosts.
func (v View) CountInForce(version int64) (inForce, live int) {
	for _, h := range v.Hosts {
		if h.State == stateDead {
			continue
		}
		live++
		if h.Version >= version {
			inForce++
		}
	}
	return inForce, live
}

// UnreachableError reports that no host returned its status. Cause is the last
// host's error.
type UnreachableError struct{ Cause error }

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no host returned its status (%v); pass the status port of a live host with --host", e.Cause)
}

func (e *UnreachableError) Unwrap() error { return e.Cause }

// Any returns the view of the first host that answers.
func Any(ctx context.Context, hosts []string) (View, error) {
	lastErr := errors.New("no --host was given")
	for _, host := range hosts {
		view, err := read(ctx, host)
		if err == nil {
			return view, nil
		}
		lastErr = err
	}
	return View{}, &UnreachableError{Cause: lastErr}
}

// read returns the view of one host. It names the host itself and has at least its
// row.
func read(ctx context.Context, host string) (View, error) {
	data, err := Get(ctx, host+"/status")
	if err != nil {
		return View{}, err
	}
	var view View
	if err := json.Unmarshal(data, &view); err != nil {
		return View{}, errors.Wrapf(err, "decode %s/status", host)
	}
	if view.Host == "" || len(view.Hosts) == 0 {
		return View{}, errors.Newf("%s/status names no hosts; check that it is the status port of a host", host)
	}
	return view, nil
}

// Get fetches one page of a status port.
func Get(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "%q is not a URL", url)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s returned status %s", url, response.Status)
	}
	data, err := reply.Read(response.Body, maxResponseBytes)
	return data, errors.Wrapf(err, "read %s", url)
}
