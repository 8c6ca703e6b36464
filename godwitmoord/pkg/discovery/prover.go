package discovery

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"godwitmoor.example/coordination/pkg/host"
)

const (
	// Of proverShare hosts one proves the configuration for all, and at least
	// leastProvers: any two of them may be cut off.
	proverShare  = 8
	leastProvers = 3
	// provenWait is how long a watch of the configuration lasts without changes at
	// a host that proves it for others; its regular end is the proof. A third of
	// the bound for keys taken away leaves room for one that fails.
	provenWait = 1500 * time.Millisecond
	// quietWait is the same for hosts that hear the proofs of others.
	quietWait = 20 * time.Second
	// proofBound is the age of a proof at which a host looks for itself: a moment
	// before it would report that it is not ready.
	proofBound = 3 * time.Second
	// proofInterval is how often that is considered, lookPause the least time
	// between two looks.
	proofInterval = 200 * time.Millisecond
	lookPause     = 400 * time.Millisecond
	// proverKey ranks the hosts that prove.
	proverKey = "configuration"
)

// prover sees to it that the configuration in force is proven to be the newest.
// A few hosts prove it by short watches and tell the others with the probes. Who
// hears of no proof, or of a newer version than its watch brought, looks for
// itself.
type prover struct {
	service  *Service
	inForce  inForce
	others   others
	declared *follower
	looked   time.Time
}

// inForce is the configuration in force here.
type inForce interface {
	InForceVersion() int64
	// Age gives how long ago the version was proven; zero if it never was.
	Age(version int64) time.Duration
}

// others are the other hosts.
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

func (p *prover) look() {
	version := p.inForce.InForceVersion()
	p.service.common.Count("discovery.looks")
	p.service.common.Log.Info("looking at the configuration", zap.Int64("version", version),
		zap.Int64("newest-elsewhere", p.others.NewestVersion()), zap.Duration("proven-ago", p.inForce.Age(version)))
	p.declared.look()
}

// due tells whether this host must look at the configuration now.
func (p *prover) due() bool {
	version := p.inForce.InForceVersion()
	if p.others.NewestVersion() > version {
		return true
	}
	age := p.inForce.Age(version)
	return version > 0 && (age == 0 || age > proofBound)
}

// declaredWait gives how long the next watch of the configuration may last.
func (s *Service) declaredWait() time.Duration {
	names := s.members.ReadyNames()
	provers := host.Ranked(names, proverKey, max(leastProvers, len(names)/proverShare))
	if slices.Contains(provers, s.common.Self.Name) {
		return provenWait
	}
	return quietWait
}
