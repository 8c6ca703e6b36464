package claim_test

import (
	"context"
	"encoding/binary"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/claim"
	"godwitmoor.example/coordination/pkg/host"
	"godwitmoor.example/coordination/pkg/keyvalue/keyvaluetest"
)

const retention = 24 * time.Hour

func bookOf(store *keyvaluetest.Store, name string, hook func(keyvaluetest.Call) error) *claim.Book {
	return &claim.Book{Store: store.Link(hook), Host: host.Identity{Name: name, Incarnation: 1}}
}

func order(key, attempt string) claim.Application {
	return claim.Application{
		Key:         claim.Key{Service: "order-desk", Customer: "office", ID: key},
		Attempt:     attempt,
		Fingerprint: claim.Fingerprint("POST", "/confirmations", []byte("twelve trays")),
	}
}

// newKey makes a key with the current time of the synctest bubble. uuid.NewV7
// cannot be used: it continues from the latest time it has seen in any bubble.
func newKey() string {
	id := uuid.New()
	binary.BigEndian.PutUint64(id[:8], uint64(time.Now().UnixMilli())<<16|0x7000)
	return id.String()
}

// onClaim returns a hook that runs only for calls on a claim's key, and not for
// those on a session's key.
func onClaim(stage keyvaluetest.Stage, operation string, hook func() error) func(keyvaluetest.Call) error {
	return func(c keyvaluetest.Call) error {
		if c.Stage == stage && c.Operation == operation && strings.Contains(c.Key, "/claims/") {
			return hook()
		}
		return nil
	}
}

func failTimes(n int) func() error {
	return func() error {
		if n > 0 {
			n--
			return keyvaluetest.ErrCut
		}
		return nil
	}
}

func held(v claim.Verdict) (claim.Held, bool) {
	h, ours := v.(claim.Held)
	return h, ours
}

func TestOneOfTwoHostsGetsTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		key := newKey()
		verdicts := make(chan claim.Verdict, 2)
		for _, name := range []string{"entry-1", "entry-2"} {
			book := bookOf(&store, name, func(keyvaluetest.Call) error {
				time.Sleep(time.Millisecond)
				return nil
			})
			go func() {
				v, err := book.Claim(t.Context(), order(key, name), retention)
				is.NoErr(err)
				verdicts <- v
			}()
		}
		ours, others := 0, 0
		for range 2 {
			switch (<-verdicts).(type) {
			case claim.Held:
				ours++
			case claim.InProgress:
				others++
			}
		}
		is.Equal(ours, 1)   // one may send
		is.Equal(others, 1) // the other gets InProgress
	})
}

func TestLostReplyOfAClaimFindsItselfThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		book := bookOf(&store, "entry-1", onClaim(keyvaluetest.After, "create", failTimes(3)))
		verdict, err := book.Claim(t.Context(), order(newKey(), "a"), retention)
		is.NoErr(err)
		_, ours := held(verdict)
		is.True(ours) // the write that took effect was its own
	})
}

func TestUnsettledClaimIsWithdrawnLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		down := true
		book := bookOf(&store, "entry-1", func(c keyvaluetest.Call) error {
			if down && c.Stage == keyvaluetest.After && strings.Contains(c.Key, "/claims/") {
				return keyvaluetest.ErrCut
			}
			return nil
		})
		application := order(newKey(), "a")
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := book.Claim(short, application, retention)
		is.True(err != nil) // the outcome is unknown, so nothing may be sent
		down = false
		verdict, err := book.Withdraw(t.Context(), application, retention)
		is.NoErr(err)
		is.Equal(verdict, claim.NotRun{})
		verdict, err = bookOf(&store, "entry-2", nil).Claim(t.Context(), order(application.Key.ID, "b"), retention)
		is.NoErr(err)
		is.Equal(verdict, claim.NotRun{}) // nobody runs it afterwards
	})
}

func TestFrozenHostWakesAfterItsRequestWasWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		key := newKey()
		frozen := bookOf(&store, "entry-1", onClaim(keyvaluetest.Before, "create", func() error {
			time.Sleep(10 * time.Minute)
			return nil
		}))
		woken := make(chan claim.Verdict)
		go func() {
			v, err := frozen.Claim(t.Context(), order(key, "a"), retention)
			is.NoErr(err)
			woken <- v
		}()
		time.Sleep(time.Second)
		verdict, err := bookOf(&store, "entry-2", nil).Withdraw(t.Context(), order(key, "b"), retention)
		is.NoErr(err)
		is.Equal(verdict, claim.NotRun{}) // entry-2 reports to the caller that it did not run
		is.Equal(<-woken, claim.NotRun{}) // so the frozen host must not send it
	})
}

func TestHostPausedPastTheRetentionCannotRunAKeyAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		// The other host took the lease of its claims an hour before the paused
		// host, so for an hour the first lease has expired and the second has not.
		other := bookOf(&store, "entry-2", nil)
		_, err := other.Claim(t.Context(), order(newKey(), "warm"), retention)
		is.NoErr(err)
		time.Sleep(59 * time.Minute)
		key := newKey()
		paused := bookOf(&store, "entry-1", onClaim(keyvaluetest.Before, "create", func() error {
			time.Sleep(35*time.Hour + 30*time.Minute)
			return nil
		}))
		type result struct {
			verdict claim.Verdict
			err     error
		}
		woken := make(chan result)
		go func() {
			v, err := paused.Claim(t.Context(), order(key, "a"), retention)
			woken <- result{v, err}
		}()
		time.Sleep(30 * time.Second)
		verdict, err := other.Claim(t.Context(), order(key, "b"), retention)
		is.NoErr(err)
		h, ours := held(verdict)
		is.True(ours)
		is.NoErr(other.Settle(t.Context(), h.Holding, claim.Answer{Status: 200}))
		r := <-woken // the claim of entry-2 has expired by now
		_, ours = held(r.verdict)
		is.True(!ours) // a held claim would let the request run a second time
		expired := errors.HasType(r.err, (*claim.ExpiredKeyError)(nil))
		is.True(expired)
	})
}

func TestClaimOutlivesEveryAcceptedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		first, second := bookOf(&store, "entry-1", nil), bookOf(&store, "entry-2", nil)
		// The lease is almost sessionMaxAge old when the claim is written on it, so
		// the claim has close to the shortest time that the lease allows.
		_, err := first.Claim(t.Context(), order(newKey(), "warm"), retention)
		is.NoErr(err)
		time.Sleep(59 * time.Minute)
		key := newKey()
		_, err = first.Claim(t.Context(), order(key, "a"), retention)
		is.NoErr(err)
		time.Sleep(retention - time.Second)
		verdict, err := second.Claim(t.Context(), order(key, "b"), retention)
		is.NoErr(err)
		_, running := verdict.(claim.InProgress)
		is.True(running)
		time.Sleep(2 * time.Second)
		_, err = second.Claim(t.Context(), order(key, "c"), retention)
		expired := errors.HasType(err, (*claim.ExpiredKeyError)(nil))
		is.True(expired) // rejected by its age before the claim's lease expires
	})
}

func TestRepeatedKeyGetsTheStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		key := newKey()
		book := bookOf(&store, "entry-1", onClaim(keyvaluetest.After, "swap", failTimes(2)))
		verdict, err := book.Claim(t.Context(), order(key, "a"), retention)
		is.NoErr(err)
		h, ours := held(verdict)
		is.True(ours)
		answer := claim.Answer{Status: 201, ContentType: "text/plain", Body: []byte("order 7")}
		is.NoErr(book.Settle(t.Context(), h.Holding, answer)) // succeeds although two replies are lost
		verdict, err = bookOf(&store, "entry-2", nil).Look(t.Context(), order(key, "b"), retention)
		is.NoErr(err)
		is.Equal(verdict, claim.Answered{Answer: answer})
	})
}

func TestClaimNeverComesBackFromItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		key := newKey()
		book := bookOf(&store, "entry-1", nil)
		verdict, err := book.Claim(t.Context(), order(key, "a"), retention)
		is.NoErr(err)
		h, _ := held(verdict)
		is.NoErr(book.Lose(t.Context(), h.Holding))
		is.NoErr(book.Settle(t.Context(), h.Holding, claim.Answer{Status: 200}))
		verdict, err = book.Withdraw(t.Context(), order(key, "a"), retention)
		is.NoErr(err)
		_, unknown := verdict.(claim.Unknown)
		is.True(unknown) // neither the late answer nor the withdrawal changed the state
	})
}

func TestKeyOfAnotherRequestIsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		book := bookOf(&store, "entry-1", nil)
		application := order(newKey(), "a")
		_, err := book.Claim(t.Context(), application, retention)
		is.NoErr(err)
		application.Attempt = "b"
		application.Fingerprint = claim.Fingerprint("POST", "/confirmations", []byte("two hundred trays"))
		verdict, err := book.Claim(t.Context(), application, retention)
		is.NoErr(err)
		is.Equal(verdict, claim.Conflict{})
	})
}

func TestKeysThatCannotTellTheirAgeAreRefused(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"", "order-7", uuid.NewString()} {
		_, err := claim.Key{ID: id}.Created()
		malformed := errors.HasType(err, (*claim.MalformedKeyError)(nil))
		is.True(malformed)
	}
}
