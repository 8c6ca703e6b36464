package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

// contactStep is what a host that learns of endpoints from others does next about its
// contact with the hosts that read the store for it.
type contactStep uint8

const (
	// stayStep: nothing.
	stayStep contactStep = iota
	// askOneStep asks one of the readers whether it reads, askAllStep all of them.
	askOneStep
	askAllStep
	// replaceStep reads the store in place of the readers.
	replaceStep
)

// contact is what a host knows at one moment of its contact with the readers of the store.
type contact struct {
	// silence is for how long no reader has told this host that it reads the store.
	silence time.Duration
	// sinceOne and sinceAll are how long ago one reader and all of them were asked in this
	// silence; zero if they were not.
	sinceOne, sinceAll time.Duration
}

// next decides what to do. While readers are silent this host can't tell that nothing
// changes from that it would not be told.
func (c contact) next(b budget) contactStep {
	switch {
	case c.silence < b.silence():
		return stayStep
	case c.sinceOne == 0:
		return askOneStep
	case c.sinceAll == 0 && c.sinceOne >= b.answer():
		return askAllStep
	case c.sinceAll >= b.answer():
		return replaceStep
	default:
		return stayStep
	}
}

// readerContact keeps a host that does not read the store in contact with those that do.
// All of them may be lost at the same moment as an endpoint leaves; the host then reads the
// store itself, early enough to learn of the leaving within its bound.
type readerContact struct {
	service *Service
	// follows is since when this host has not read the store; zero while it does.
	follows time.Time
	// oneAskedAt and allAskedAt are when readers were asked in the present silence.
	oneAskedAt, allAskedAt time.Time
	// asked counts the questions to one reader, so that each goes to the next one.
	asked int
}

// run checks the contact until ctx ends.
func (c *readerContact) run(ctx context.Context) {
	c.asked = rand.IntN(provers + listeners)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.service.budget().contactCheck()):
		}
		if c.service.duty() != follows || !c.service.joined.Load() {
			*c = readerContact{service: c.service, asked: c.asked}
			continue
		}
		c.check(ctx, time.Now())
	}
}

// check carries out the next step.
func (c *readerContact) check(ctx context.Context, now time.Time) {
	readers := c.service.readers()
	if c.follows.IsZero() {
		c.follows = now
	}
	last := c.service.members.LastReader()
	if last.Before(c.follows) {
		last = c.follows
	}
	if last.After(c.oneAskedAt) {
		c.oneAskedAt, c.allAskedAt = time.Time{}, time.Time{}
	}
	observed := contact{silence: now.Sub(last), sinceOne: since(c.oneAskedAt, now), sinceAll: since(c.allAskedAt, now)}
	switch observed.next(c.service.budget()) {
	case stayStep:
	case askOneStep:
		c.oneAskedAt = now
		c.asked++
		if len(readers) > 0 {
			go (&readerQuestion{service: c.service, reader: readers[c.asked%len(readers)]}).run(ctx)
		}
	case askAllStep:
		c.allAskedAt = now
		for _, name := range readers {
			go (&readerQuestion{service: c.service, reader: name}).run(ctx)
		}
	case replaceStep:
		c.service.replaceReaders(now)
	}
}

// since returns the time from an event to now, or zero if it did not happen.
func since(event, now time.Time) time.Duration {
	if event.IsZero() {
		return 0
	}
	return now.Sub(event)
}

// sinceLastReader returns for how long no host has told this one that it reads the store;
// zero if none ever did.
func (s *Service) sinceLastReader() time.Duration {
	return since(s.members.LastReader(), time.Now())
}

// readers returns the hosts that read the store for all others while none is lost.
func (s *Service) readers() []string {
	ranked := s.members.StoreReaders()
	return ranked[:min(provers+listeners, len(ranked))]
}

// replaceReaders makes this host read the store because no reader answers, unless the store
// refused that just now.
func (s *Service) replaceReaders(now time.Time) {
	if !s.standIn.begin(now, s.budget().replaceTerm()) {
		return
	}
	s.common.Count("discovery.stand-ins")
	s.common.Log.Info("reading the store because none of its readers answers")
	s.updateDuty()
}

// readerQuestion asks one host whether it reads the store.
type readerQuestion struct {
	service *Service
	reader  string
}

func (q *readerQuestion) run(ctx context.Context) {
	if err := q.service.members.AskProof(ctx, q.reader); err != nil {
		q.service.common.Count("discovery.asks.unanswered")
	}
}
