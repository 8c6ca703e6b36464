package discovery

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/keyvalue"
	"godwitmoor.example/godwitmoord/pkg/notice"
)

const (
	// storeTopic is the topic of notices about changes of the store: the subject is
	// the key, the version the revision of the change.
	storeTopic = "store-change"
	// leavingTopic is the topic of notices that an endpoint said itself that it is
	// leaving: the subject is its name, the version when it was born.
	leavingTopic = "endpoint-leaving"
	// removalLife is how long hosts keep the notice of a removed entry, so that none
	// brings the entry back. leavingLife is the same for an endpoint's own word.
	removalLife = 10 * time.Minute
	leavingLife = 10 * time.Minute
)

// notices exchanges notices with the other hosts.
type notices interface {
	Handle(topic string, handler func(notice.Notice) bool)
	Publish(n notice.Notice)
	Keep(n notice.Notice)
	Tell(host, topic, subject string)
	// Fetch gets the notice that a host holds about a subject.
	Fetch(ctx context.Context, host, topic, subject string) error
}

// sharedChange is the body of a notice about a change of the store.
type sharedChange struct {
	Value   []byte `cbor:"1,keyasint,omitempty"`
	Removed bool   `cbor:"2,keyasint,omitempty"`
	// Grace is how long the endpoint stays in use after its removal, as the host
	// judged that the store told.
	Grace time.Duration `cbor:"3,keyasint,omitempty"`
	// Deflated is the value of the entry if it is large, compressed; Value is then empty.
	Deflated []byte `cbor:"4,keyasint,omitempty"`
}

// withValue returns a copy of c with a value, which is compressed if it is large.
func (c sharedChange) withValue(value []byte) sharedChange {
	c.Value, c.Deflated = value, nil
	if len(value) >= deflatedValueBytes {
		c.Value, c.Deflated = nil, deflate(value)
	}
	return c
}

// value returns the value of the entry.
func (c sharedChange) value() ([]byte, error) {
	if len(c.Deflated) == 0 {
		return c.Value, nil
	}
	return inflate(c.Deflated)
}

// share passes a change of an endpoint that the store told this host on to the others.
// The first endpoints of this host are those that most hosts know, so they are only kept
// for hosts that turn out to lack them. The caller holds s.mu.
func (s *Service) share(c keyvalue.Change, u update) {
	shared := sharedChange{}.withValue(c.Entry.Value)
	if c.Removed {
		shared = sharedChange{Removed: true, Grace: max(s.graceLeft(u.age), 0)}
	}
	n, err := newStoreNotice(c.Entry, shared)
	switch {
	case err != nil:
		s.common.Log.Error("change of the store cannot be encoded", zap.String("key", c.Entry.Key), zap.Error(err))
	case u.initial:
		s.notices.Keep(n)
	default:
		s.notices.Publish(n)
	}
}

// shareConfiguration passes the configuration that the store told this host on to the
// others.
func (s *Service) shareConfiguration(e keyvalue.Entry, version int64) {
	n, encoded := s.entryNotice(e)
	if !encoded {
		return
	}
	n.Version = configurationRank(e.Revision, version)
	s.holdConfiguration(version, n.Body)
	s.notices.Publish(n)
}

// entryNotice returns the notice about an entry that the operators wrote, and false if it
// cannot be encoded.
func (s *Service) entryNotice(e keyvalue.Entry) (notice.Notice, bool) {
	n, err := newStoreNotice(e, sharedChange{}.withValue(e.Value))
	if err != nil {
		s.common.Log.Error("entry of the operators cannot be encoded", zap.String("key", e.Key), zap.Int64("revision", e.Revision), zap.Error(err))
	}
	return n, err == nil
}

// newStoreNotice returns the notice about a change of an entry.
func newStoreNotice(e keyvalue.Entry, shared sharedChange) (notice.Notice, error) {
	body, err := cbor.Marshal(shared)
	n := notice.Notice{Topic: storeTopic, Subject: e.Key, Version: e.Revision, Body: body}
	if shared.Removed {
		n.Life = removalLife
	}
	return n, err
}

// acceptChange applies a change of the store that another host was told, and reports
// whether it was news.
func (s *Service) acceptChange(n notice.Notice) bool {
	var shared sharedChange
	if err := cbor.Unmarshal(n.Body, &shared); err != nil {
		s.common.Log.Warn("change of the store from another host is malformed", zap.String("key", n.Subject), zap.Error(err))
		return false
	}
	value, err := shared.value()
	if err != nil {
		s.common.Log.Warn("value from another host cannot be read", zap.String("key", n.Subject), zap.Error(err))
		return false
	}
	if _, ever := s.eras.last(); ever || !shared.Removed {
		// Boards keep removals for long: one of an earlier era must not be the first that
		// a host learns, or the present era would look like a restore just now.
		s.observeRevision(n.Version)
	}
	c := keyvalue.Change{Entry: keyvalue.Entry{Key: n.Subject, Value: value, Revision: n.Version}, Removed: shared.Removed}
	if c.Entry.Key == s.layout.ConfigurationKey() {
		return s.acceptConfiguration(c, n.Body)
	}
	if s.isOrder(c.Entry.Key) {
		return s.acceptOrder(c)
	}
	name, isEndpoint := s.layout.EndpointName(c.Entry.Key)
	return isEndpoint && s.acceptEndpoint(name, c, shared.Grace-n.Age)
}

// acceptEndpoint applies a change of an endpoint that another host was told, unless
// the store told this host all changes up to that one.
func (s *Service) acceptEndpoint(name string, c keyvalue.Change, grace time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Entry.Revision <= s.syncedRevision {
		// The store told this host everything up to there. A removal is kept
		// nevertheless, so that the boards of all hosts agree.
		return c.Removed
	}
	if changed, _ := s.applyChange(name, c, grace); changed {
		s.release.SetEndpoints(s.table.ByService(), s.table.Left())
	}
	return true
}

// acceptConfiguration installs a configuration that another host read, unless it read an
// older one in a restored store. body is that of the notice.
func (s *Service) acceptConfiguration(c keyvalue.Change, body []byte) bool {
	if c.Removed {
		return false
	}
	version, decoded, err := s.layout.Configuration(c.Entry.Value)
	if err != nil {
		s.common.Log.Error("configuration of another host cannot be read", zap.Int64("revision", c.Entry.Revision), zap.Error(err))
		return false
	}
	if keyvalue.EraOf(c.Entry.Revision) > 0 && version < s.release.InForceVersion() {
		s.passOnNewer(c.Entry.Revision, version)
		return false
	}
	s.release.Install(version, decoded)
	s.holdConfiguration(version, body)
	return true
}

// ReportLeaving records that an endpoint said itself, in an answer to this host, that
// it is leaving, and passes that on. born is when the endpoint started.
func (s *Service) ReportLeaving(endpoint string, born int64) {
	if s.markLeaving(endpoint, born) {
		s.notices.Publish(notice.Notice{Topic: leavingTopic, Subject: endpoint, Version: born, Life: leavingLife})
	}
}

// acceptLeaving applies an endpoint's own word that another host received.
func (s *Service) acceptLeaving(n notice.Notice) bool {
	s.markLeaving(n.Subject, n.Version)
	return true
}

// markLeaving marks an endpoint as leaving by its own word, and reports whether that
// was new.
func (s *Service) markLeaving(endpoint string, born int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.table.MarkLeaving(endpoint, born) {
		return false
	}
	s.common.Log.Info("endpoint leaving by its own word", zap.String("endpoint", endpoint), zap.Int64("born", born))
	s.release.SetEndpoints(s.table.ByService(), s.table.Left())
	return true
}

// TellEndpoint tells another host what this one knows of an endpoint, because the
// other one granted it although it is leaving or has left.
func (s *Service) TellEndpoint(host, endpoint string) {
	if host == s.common.Self.Name {
		return
	}
	s.notices.Tell(host, storeTopic, s.layout.EndpointPrefix()+endpoint)
	s.notices.Tell(host, leavingTopic, endpoint)
}
