package discovery

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
)

const (
	// One in hostsPerProver hosts, but at least minProvers, proves for all hosts that
	// the configuration is the newest. With three, the proofs continue while any two
	// of them are cut off from the store.
	hostsPerProver = 8
	minProvers     = 3
	// proverWatchDuration is how long a watch of the configuration lasts without
	// changes on a host that provides proofs to others; the proof is a watch that
	// lasted its whole time. A third of the bound for revoked keys leaves time to
	// repeat a watch that failed.
	proverWatchDuration = 1500 * time.Millisecond
	// nonProverWatchDuration is the same on hosts that receive the proofs of others.
	nonProverWatchDuration = 20 * time.Second
	// maxProofAge is the age of the last proof at which a host reads the
	// configuration itself, shortly before it would report that it is not ready.
	maxProofAge = 3 * time.Second
	// proofCheckInterval is how often the age of the proof is checked. minReadPause
	// is the shortest time between two reads that this check causes.
	proofCheckInterval = 200 * time.Millisecond
	minReadPause       = 400 * time.Millisecond
	// proverRankingKey is the key of the rendezvous ranking that selects the hosts
	// that provide proofs.
	proverRankingKey = "configuration"
)

// freshnessChecker makes sure that the configuration in force is proven to be the
// newest.
//
// A few hosts prove it with short watches and send the proof to the others with
// the membership probes. A host reads the configuration itself if it receives no
// proof, or if another host reports a newer version than its own watch returned.
type freshnessChecker struct {
	service               *Service
	inForce               configurationState
	others                otherHosts
	configurationFollower *follower
	lastRead              time.Time
}

// configurationState describes the configuration in force on this host.
type configurationState interface {
	InForceVersion() int64
	// Age returns how long ago the version was proven to be the newest; zero if it
	// never was.
	Age(version int64) time.Duration
}

// otherHosts reports the newest version that any other host has.
type otherHosts interface{ NewestVersion() int64 }

// run checks the freshness until ctx ends.
func (c *freshnessChecker) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(proofCheckInterval):
		}
		if time.Since(c.lastRead) > minReadPause && c.needsRead() {
			c.lastRead = time.Now()
			c.readConfiguration()
		}
	}
}

// readConfiguration logs why the configuration is read again and requests a new
// listing.
func (c *freshnessChecker) readConfiguration() {
	version := c.inForce.InForceVersion()
	c.service.common.Count("discovery.looks")
	c.service.common.Log.Info("looking at the configuration", zap.Int64("version", version),
		zap.Int64("newest-elsewhere", c.others.NewestVersion()), zap.Duration("proven-ago", c.inForce.Age(version)))
	c.configurationFollower.requestListing()
}

// needsRead reports whether this host must read the configuration now.
func (c *freshnessChecker) needsRead() bool {
	version := c.inForce.InForceVersion()
	if c.others.NewestVersion() > version {
		return true
	}
	age := c.inForce.Age(version)
	return version > 0 && (age == 0 || age > maxProofAge)
}

// isProver reports whether this host provides proofs to others.
func (s *Service) isProver() bool {
	names := s.members.ReadyNames()
	provers := host.Ranked(names, proverRankingKey, max(minProvers, len(names)/hostsPerProver))
	return slices.Contains(provers, s.common.Self.Name)
}

// configurationWatchDuration returns how long the next watch of the configuration
// lasts without changes. Hosts that provide freshness proofs use short watches.
func (s *Service) configurationWatchDuration() time.Duration {
	if s.isProver() {
		return proverWatchDuration
	}
	return nonProverWatchDuration
}
