package discovery

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
)

const (
	// One in proverShare hosts, but at least leastProvers, proves for all hosts that
	// the configuration is the newest. With three, the proofs continue while any
	// two of them are cut off from the store.
	proverShare  = 8
	leastProvers = 3
	// provenWait is how long a watch of the configuration lasts without changes on
	// a host that provides proofs to others; the proof is a watch that lasted its
	// whole time. A third of the bound for revoked keys leaves time to repeat a
	// watch that failed.
	provenWait = 1500 * time.Millisecond
	// quietWait is the same on hosts that receive the proofs of others.
	quietWait = 20 * time.Second
	// proofBound is the age of the last proof at which a host reads the
	// configuration itself, shortly before it would report that it is not ready.
	proofBound = 3 * time.Second
	// proofInterval is how often the age of the proof is checked. lookPause is the
	// shortest time between two reads that this check causes.
	proofInterval = 200 * time.Millisecond
	lookPause     = 400 * time.Millisecond
	// proverKey is the key of the rendezvous ranking that selects the hosts that
	// provide proofs.
	proverKey = "configuration"
)

// prover makes sure that the configuration in force is proven to be the newest.
//
// A few hosts prove it with short watches and send the proof to the others with
// the membership probes. A host reads the configuration itself if it receives no
// proof, or if another host reports a newer version than its own watch returned.
type prover struct {
	service  *Service
	inForce  inForce
	others   others
	declared *follower
	looked   time.Time
}

// inForce describes the configuration in force on this host.
type inForce interface {
	InForceVersion() int64
	// Age returns how long ago the version was proven to be the newest; zero if it
	// never was.
	Age(version int64) time.Duration
}

// others reports the newest version that any other host has.
type others interface{ NewestVersion() int64 }

func (p *prover) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(proofInterval):
		}
		if time.Since(p.looked) > lookPause && p.due() {
			p.looked = time.Now()
			p.look()
		}
	}
}

// look logs why the configuration is read again and requests a new listing.
func (p *prover) look() {
	version := p.inForce.InForceVersion()
	p.service.common.Count("discovery.looks")
	p.service.common.Log.Info("looking at the configuration", zap.Int64("version", version),
		zap.Int64("newest-elsewhere", p.others.NewestVersion()), zap.Duration("proven-ago", p.inForce.Age(version)))
	p.declared.requestListing()
}

// due reports whether this host must read the configuration now.
func (p *prover) due() bool {
	version := p.inForce.InForceVersion()
	if p.others.NewestVersion() > version {
		return true
	}
	age := p.inForce.Age(version)
	return version > 0 && (age == 0 || age > proofBound)
}

// declaredWait returns how long the next watch of the configuration lasts. Hosts
// that provide freshness proofs use short watches.
func (s *Service) declaredWait() time.Duration {
	names := s.members.ReadyNames()
	provers := host.Ranked(names, proverKey, max(leastProvers, len(names)/proverShare))
	if slices.Contains(provers, s.common.Self.Name) {
		return provenWait
	}
	return quietWait
}
