package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/keyvalue"
)

const (
	// currentKey holds the one configuration that is in force.
	currentKey = "godwitmoor/configuration/current"
	// maxEarlierChanges is how many earlier change ids a stored release keeps, so
	// that an apply whose reply was lost still finds its own change if others
	// were applied after it.
	maxEarlierChanges = 64
	// retryInterval is the pause before an apply without a reply is tried again.
	retryInterval = 200 * time.Millisecond
)

// Release is one accepted version of the configuration. Versions start at 1 and
// increase by one with each release.
type Release struct {
	Version int64  `json:"version"`
	Change  string `json:"change"`
	By      string `json:"by"`
	// Text is the configuration as the operator wrote it, comments included.
	Text string `json:"text"`
	// Earlier are the change ids before this one, newest first.
	Earlier []string `json:"earlier,omitempty"`
}

// Decode parses and checks the configuration of the release.
func (r Release) Decode() (Configuration, error) {
	return Parse(fmt.Sprintf("version-%d", r.Version), []byte(r.Text))
}

// Change is one operator's request to replace the configuration.
type Change struct {
	// ID is unique to the change; the operator's program generates a random one.
	ID string
	// By is the name of the operator.
	By   string
	Text string
	// Base is the version that the change was made from; zero if the deployment
	// has no configuration yet.
	Base int64
}

// Result is the outcome of a change. It is one of Applied and Superseded.
type Result interface{ result() }

// Applied means that the change was accepted, as Version.
type Applied struct{ Version int64 }

// Superseded means that another change was accepted after the base version, so
// that nothing was written. It describes the release now in force.
type Superseded struct {
	Version int64
	Change  string
	By      string
}

func (Applied) result()    {}
func (Superseded) result() {}

// UnknownOutcomeError reports that no reply arrived, so that the change may or may
// not have been accepted.
type UnknownOutcomeError struct {
	Change string
	Cause  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("change %s may or may not have been accepted (%v); run the same apply again with --change-id %s", e.Change, e.Cause, e.Change)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// Store reads and updates the configuration in the platform's key-value
// service.
type Store struct {
	KeyValue keyvalue.Store
}

// Current returns the release in force, or a zero Release if none was ever
// applied.
func (s *Store) Current(ctx context.Context) (Release, error) {
	release, _, err := s.read(ctx)
	return release, err
}

func (s *Store) read(ctx context.Context) (Release, int64, error) {
	entry, err := s.KeyValue.Read(ctx, currentKey)
	if err != nil || !entry.Found() {
		return Release{}, 0, err
	}
	release, err := decodeRelease(entry)
	return release, entry.Revision, err
}

func decodeRelease(entry keyvalue.Entry) (Release, error) {
	var release Release
	if err := json.Unmarshal(entry.Value, &release); err != nil {
		return Release{}, errors.Wrapf(err, "the value of key %s is not a release; restore a valid value", entry.Key)
	}
	return release, nil
}

// Apply replaces the configuration with the change's text if the base version is
// still in force. If a reply is lost, Apply reads the release again and repeats
// the change if needed, until ctx ends; then it returns an *UnknownOutcomeError.
// Applying the same change again is harmless.
func (s *Store) Apply(ctx context.Context, change Change) (Result, error) {
	if _, err := Parse(change.ID, []byte(change.Text)); err != nil {
		return nil, err
	}
	for {
		result, err := s.tryApply(ctx, change)
		if err == nil {
			return result, nil
		}
		var unreachable *keyvalue.UnreachableError
		if !errors.As(err, &unreachable) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, &UnknownOutcomeError{Change: change.ID, Cause: err}
		case <-time.After(retryInterval):
		}
	}
}

func (s *Store) tryApply(ctx context.Context, change Change) (Result, error) {
	current, revision, err := s.read(ctx)
	if err != nil {
		return nil, err
	}
	if version, found := current.versionOf(change.ID); found {
		return Applied{Version: version}, nil
	}
	if current.Version != change.Base {
		return Superseded{Version: current.Version, Change: current.Change, By: current.By}, nil
	}
	next := current.next(change)
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode release")
	}
	outcome, err := s.write(ctx, value, revision)
	if err != nil {
		return nil, err
	}
	if outcome.Applied {
		return Applied{Version: next.Version}, nil
	}
	winner, err := decodeRelease(outcome.Current)
	if err != nil {
		return nil, err
	}
	// The release found may be this change itself, written by an earlier try whose
	// reply was lost.
	if version, found := winner.versionOf(change.ID); found {
		return Applied{Version: version}, nil
	}
	return Superseded{Version: winner.Version, Change: winner.Change, By: winner.By}, nil
}

func (s *Store) write(ctx context.Context, value []byte, revision int64) (keyvalue.Outcome, error) {
	if revision == 0 {
		return s.KeyValue.Create(ctx, keyvalue.Creation{Key: currentKey, Value: value})
	}
	return s.KeyValue.Swap(ctx, currentKey, value, revision, 0)
}

// versionOf returns the version as which the change was accepted, if that is r or
// one of the earlier releases that r remembers.
func (r Release) versionOf(change string) (int64, bool) {
	if r.Change == change && change != "" {
		return r.Version, true
	}
	if i := slices.Index(r.Earlier, change); i >= 0 {
		return r.Version - 1 - int64(i), true
	}
	return 0, false
}

// next returns the release that accepts change as the version after r.
func (r Release) next(change Change) Release {
	var earlier []string
	if r.Change != "" {
		earlier = append([]string{r.Change}, r.Earlier...)
	}
	if len(earlier) > maxEarlierChanges {
		earlier = earlier[:maxEarlierChanges]
	}
	return Release{Version: r.Version + 1, Change: change.ID, By: change.By, Text: change.Text, Earlier: earlier}
}
