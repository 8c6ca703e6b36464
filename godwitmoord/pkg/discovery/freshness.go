package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
)

const (
	// freshnessCheckInterval is how often a host checks its duty and its proof.
	freshnessCheckInterval = 200 * time.Millisecond
	// fetchGrace is how long another host may have a newer configuration before this one
	// fetches it: until then a notice of it is on its way.
	fetchGrace = 300 * time.Millisecond
	// minReadPause is the shortest time between two listings that a prover requests.
	minReadPause = 400 * time.Millisecond
	// readSpacing is the mean time between two attempts of the whole fleet to stand in
	// while all hosts wait for a proof.
	readSpacing = 100 * time.Millisecond
)

// step is what a host does next about the freshness of its configuration.
type step uint8

const (
	rest step = iota
	// fetchStep fetches the configuration from a host that has a newer one.
	fetchStep
	// askStep asks a prover for its proof.
	askStep
	// listStep lists the configuration on a prover whose own watch brings no proof, and
	// asks another one.
	listStep
	// standInStep reads the store in place of the provers, or asks them if the store
	// refused that just now.
	standInStep
)

// freshness is what a host knows about its configuration at one moment.
type freshness struct {
	duty duty
	// rank is the host's place among the readers of the store, or notRanked, and fleet
	// the number of hosts that are ready.
	rank, fleet int
	// age is how long ago the configuration was proven to be the newest; if it never
	// was, the time since the process started, and unproven is true.
	age      time.Duration
	unproven bool
	// joined is set once the host may read the store for others.
	joined bool
	// behind is for how long another host has had a newer version in force.
	behind time.Duration
	// unanswered is true if the prover that this host asked last did not answer.
	unanswered bool
	// chance, from 0 to 1, spreads the reads of hosts that would read together.
	chance float64
}

// next decides what to do. It answers a prover that fails or is gone by the host that
// ranks after it, an unreachable fleet by the host's own read, and a store that is away
// by few reads of all hosts together.
func (f freshness) next(b freshnessBudget) step {
	switch {
	case f.behind >= fetchGrace:
		return fetchStep
	case f.duty == proves && f.age >= b.lastResort():
		return listStep
	case f.duty != proves && f.joined && f.age >= f.readAge(b):
		return standInStep
	case f.unproven || f.age >= f.askAge(b):
		return askStep
	default:
		return rest
	}
}

// askAge returns the age of its proof from which this host asks for a fresher one.
func (f freshness) askAge(b freshnessBudget) time.Duration {
	switch {
	case f.duty == proves:
		return b.standIn()
	case f.rank >= provers:
		return b.askRanked()
	default:
		return b.ask()
	}
}

// readAge returns the age of its proof from which this host reads the store itself.
func (f freshness) readAge(b freshnessBudget) time.Duration {
	switch {
	case f.rank >= provers:
		return b.standIn() + time.Duration(f.rank-provers)*b.standInStep()
	case f.unanswered:
		return b.lastResort() + time.Duration(f.chance*float64(b.jitter()))
	default:
		return b.lastResort() + time.Duration(f.chance*float64(f.fleet)*float64(readSpacing))
	}
}

// freshnessChecker keeps the duty of this host current, and its configuration and the
// proof that it is the newest.
type freshnessChecker struct {
	service *Service
	started time.Time
	// behindSince is since when another host has had a newer version; zero if none has.
	behindSince time.Time
	lastAsk     time.Time
	lastListing time.Time
	// asked counts the questions, so that each goes to the next prover.
	asked      int
	unanswered bool
	chance     float64
}

// run checks duty and freshness until ctx ends.
func (c *freshnessChecker) run(ctx context.Context) {
	c.started, c.chance, c.asked = time.Now(), rand.Float64(), rand.IntN(provers)
	for {
		c.service.updateDuty()
		observed := c.observe()
		c.take(ctx, observed.next(c.service.freshnessBudget()))
		interval := freshnessCheckInterval
		if observed.unproven {
			interval = joinCheckInterval
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// observe returns what this host knows now.
func (c *freshnessChecker) observe() freshness {
	s := c.service
	now := time.Now()
	version := s.release.InForceVersion()
	f := freshness{
		duty: s.duty(), rank: s.rank(), fleet: len(s.members.ReadyNames()),
		joined: s.joined.Load(),
		age:    s.release.Age(version), unanswered: c.unanswered, chance: c.chance,
	}
	if f.age == 0 {
		f.age, f.unproven = now.Sub(c.started), true
	}
	switch {
	case s.members.NewestVersion() <= version:
		c.behindSince = time.Time{}
	case c.behindSince.IsZero():
		c.behindSince = now
	default:
		f.behind = now.Sub(c.behindSince)
	}
	return f
}

// take carries a step out.
func (c *freshnessChecker) take(ctx context.Context, next step) {
	switch next {
	case rest:
	case fetchStep:
		c.fetch(ctx)
	case askStep:
		c.ask(ctx)
	case listStep:
		c.list()
		c.ask(ctx)
	case standInStep:
		if !c.standIn() {
			c.ask(ctx)
		}
	}
}

// fetch fetches the configuration from a host that has a newer one.
func (c *freshnessChecker) fetch(ctx context.Context) {
	s := c.service
	name, found := s.members.HostAhead(s.release.InForceVersion())
	if !found {
		return
	}
	s.common.Count("discovery.fetches")
	if err := s.notices.Fetch(ctx, name, storeTopic, s.layout.ConfigurationKey()); err != nil {
		s.common.Log.Info("configuration not fetched", zap.String("host", name), zap.Error(err))
	}
}

// ask asks the next prover for its proof.
func (c *freshnessChecker) ask(ctx context.Context) {
	s := c.service
	if time.Since(c.lastAsk) < s.freshnessBudget().askPause() || s.release.InForceVersion() == 0 {
		return
	}
	readers := s.members.StoreReaders()
	if len(readers) == 0 {
		return
	}
	name := readers[c.asked%min(provers, len(readers))]
	c.asked++
	if name == s.common.Self.Name {
		return
	}
	c.lastAsk = time.Now()
	err := s.members.AskProof(ctx, name)
	c.unanswered = err != nil
	if err != nil {
		s.common.Count("discovery.asks.unanswered")
	}
}

// list requests a listing of the configuration, because the watch brings no proof. If that
// is so because a restored store holds an older one, only the watch brings the next one.
func (c *freshnessChecker) list() {
	if time.Since(c.lastListing) < minReadPause || !c.service.provesNewest() {
		return
	}
	c.lastListing = time.Now()
	c.logStale("listing the configuration without a fresh proof")
	c.service.configurationFollower.requestListing()
}

// standIn begins to read the store in place of the provers, and reports whether it did.
func (c *freshnessChecker) standIn() bool {
	s := c.service
	if !s.standIn.begin(time.Now(), s.freshnessBudget().term()) {
		return false
	}
	c.chance = rand.Float64()
	s.common.Count("discovery.stand-ins")
	c.logStale("reading the store without a fresh proof from the provers")
	s.updateDuty()
	return true
}

// logStale logs what this host knows of its configuration.
func (c *freshnessChecker) logStale(message string) {
	s := c.service
	version := s.release.InForceVersion()
	s.common.Log.Info(message, zap.Int64("version", version), zap.Int64("newest-elsewhere", s.members.NewestVersion()),
		zap.Duration("proven-ago", s.release.Age(version)), zap.Int("rank", s.rank()), zap.Bool("prover-unanswered", c.unanswered))
}

// proofRelay tells the provers that this host, which stands in for them, has a fresh
// proof: the others ask the provers, and these then ask this host.
type proofRelay struct{ service *Service }

func (r *proofRelay) run(ctx context.Context) {
	s := r.service
	readers := s.members.StoreReaders()
	for _, name := range readers[:min(provers, len(readers))] {
		if name == s.common.Self.Name {
			continue
		}
		if err := s.members.AskProof(ctx, name); err != nil {
			s.common.Count("discovery.asks.unanswered")
		}
	}
}
