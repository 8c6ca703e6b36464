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

func newStore(store *keyvaluetest.Store, name string, hook func(keyvaluetest.Call) error) *claim.Store {
	return &claim.Store{KeyValue: store.Link(hook), Host: host.Identity{Name: name, Incarnation: 1}}
}

func requestWith(key, attempt string) claim.Request {
	return claim.Request{
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

// onClaimCall returns a hook that runs only for calls on a claim's key, and not
// for those on a session's key.
func onClaimCall(stage keyvaluetest.Stage, operation string, hook func() error) func(keyvaluetest.Call) error {
	return func(c keyvaluetest.Call) error {
		if c.Stage == stage && c.Operation == operation && strings.Contains(c.Key, "/claims/") {
			return hook()
		}
		return nil
	}
}

func failFirst(n int) func() error {
	return func() error {
		if n > 0 {
			n--
			return keyvaluetest.ErrInjected
		}
		return nil
	}
}

func asHeld(v claim.Result) (claim.Held, bool) {
	h, isHeld := v.(claim.Held)
	return h, isHeld
}

func TestOneOfTwoHostsGetsTheKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		key := newKey()
		results := make(chan claim.Result, 2)
		for _, name := range []string{"entry-1", "entry-2"} {
			claims := newStore(&store, name, func(keyvaluetest.Call) error {
				time.Sleep(time.Millisecond)
				return nil
			})
			go func() {
				v, err := claims.Claim(t.Context(), requestWith(key, name), retention)
				is.NoErr(err)
				results <- v
			}()
		}
		held, inProgress := 0, 0
		for range 2 {
			switch (<-results).(type) {
			case claim.Held:
				held++
			case claim.InProgress:
				inProgress++
			}
		}
		is.Equal(held, 1)       // one may send
		is.Equal(inProgress, 1) // the other gets InProgress
	})
}

func TestClaimIsHeldAfterItsRepliesWereLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		claims := newStore(&store, "entry-1", onClaimCall(keyvaluetest.After, "create", failFirst(3)))
		result, err := claims.Claim(t.Context(), requestWith(newKey(), "a"), retention)
		is.NoErr(err)
		_, isHeld := asHeld(result)
		is.True(isHeld) // the write that took effect was its own
	})
}

func TestClaimWithoutAReplyCanBeWithdrawnLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		loseReplies := true
		claims := newStore(&store, "entry-1", func(c keyvaluetest.Call) error {
			if loseReplies && c.Stage == keyvaluetest.After && strings.Contains(c.Key, "/claims/") {
				return keyvaluetest.ErrInjected
			}
			return nil
		})
		request := requestWith(newKey(), "a")
		shortCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := claims.Claim(shortCtx, request, retention)
		is.True(err != nil) // the outcome is unknown, so nothing may be sent
		loseReplies = false
		result, err := claims.Withdraw(t.Context(), request, retention)
		is.NoErr(err)
		is.Equal(result, claim.NotRun{})
		result, err = newStore(&store, "entry-2", nil).Claim(t.Context(), requestWith(request.Key.ID, "b"), retention)
		is.NoErr(err)
		is.Equal(result, claim.NotRun{}) // nobody runs it afterwards
	})
}

func TestFrozenHostCannotRunAWithdrawnRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		key := newKey()
		frozen := newStore(&store, "entry-1", onClaimCall(keyvaluetest.Before, "create", func() error {
			time.Sleep(10 * time.Minute)
			return nil
		}))
		resumed := make(chan claim.Result)
		go func() {
			v, err := frozen.Claim(t.Context(), requestWith(key, "a"), retention)
			is.NoErr(err)
			resumed <- v
		}()
		time.Sleep(time.Second)
		result, err := newStore(&store, "entry-2", nil).Withdraw(t.Context(), requestWith(key, "b"), retention)
		is.NoErr(err)
		is.Equal(result, claim.NotRun{})    // entry-2 reports to the caller that it did not run
		is.Equal(<-resumed, claim.NotRun{}) // so the frozen host must not send it
	})
}

func TestHostPausedPastTheRetentionCannotRunAKeyAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		// The other host took the lease of its claims an hour before the paused
		// host, so for an hour the first lease has expired and the second has not.
		other := newStore(&store, "entry-2", nil)
		_, err := other.Claim(t.Context(), requestWith(newKey(), "warm"), retention)
		is.NoErr(err)
		time.Sleep(59 * time.Minute)
		key := newKey()
		paused := newStore(&store, "entry-1", onClaimCall(keyvaluetest.Before, "create", func() error {
			time.Sleep(35*time.Hour + 30*time.Minute)
			return nil
		}))
		type outcome struct {
			result claim.Result
			err    error
		}
		resumed := make(chan outcome)
		go func() {
			v, err := paused.Claim(t.Context(), requestWith(key, "a"), retention)
			resumed <- outcome{v, err}
		}()
		time.Sleep(30 * time.Second)
		result, err := other.Claim(t.Context(), requestWith(key, "b"), retention)
		is.NoErr(err)
		h, isHeld := asHeld(result)
		is.True(isHeld)
		is.NoErr(other.Complete(t.Context(), h.Holding, claim.Answer{Status: 200}))
		r := <-resumed // the claim of entry-2 has expired by now
		_, isHeld = asHeld(r.result)
		is.True(!isHeld) // a held claim would let the request run a second time
		expired := errors.HasType(r.err, (*claim.ExpiredKeyError)(nil))
		is.True(expired)
	})
}

func TestClaimOutlivesEveryAcceptedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		first, second := newStore(&store, "entry-1", nil), newStore(&store, "entry-2", nil)
		// The lease is almost sessionMaxAge old when the claim is written on it, so
		// the claim has close to the shortest time that the lease allows.
		_, err := first.Claim(t.Context(), requestWith(newKey(), "warm"), retention)
		is.NoErr(err)
		time.Sleep(59 * time.Minute)
		key := newKey()
		_, err = first.Claim(t.Context(), requestWith(key, "a"), retention)
		is.NoErr(err)
		time.Sleep(retention - time.Second)
		result, err := second.Claim(t.Context(), requestWith(key, "b"), retention)
		is.NoErr(err)
		_, running := result.(claim.InProgress)
		is.True(running)
		time.Sleep(2 * time.Second)
		_, err = second.Claim(t.Context(), requestWith(key, "c"), retention)
		expired := errors.HasType(err, (*claim.ExpiredKeyError)(nil))
		is.True(expired) // rejected by its age before the claim's lease expires
	})
}

func TestRepeatedKeyGetsTheStoredAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		key := newKey()
		claims := newStore(&store, "entry-1", onClaimCall(keyvaluetest.After, "swap", failFirst(2)))
		result, err := claims.Claim(t.Context(), requestWith(key, "a"), retention)
		is.NoErr(err)
		h, isHeld := asHeld(result)
		is.True(isHeld)
		answer := claim.Answer{Status: 201, ContentType: "text/plain", Body: []byte("order 7")}
		is.NoErr(claims.Complete(t.Context(), h.Holding, answer)) // succeeds although two replies are lost
		result, err = newStore(&store, "entry-2", nil).Read(t.Context(), requestWith(key, "b"), retention)
		is.NoErr(err)
		is.Equal(result, claim.Answered{Answer: answer})
	})
}

func TestClaimNeverLeavesAFinalState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		key := newKey()
		claims := newStore(&store, "entry-1", nil)
		result, err := claims.Claim(t.Context(), requestWith(key, "a"), retention)
		is.NoErr(err)
		h, _ := asHeld(result)
		is.NoErr(claims.MarkLost(t.Context(), h.Holding))
		is.NoErr(claims.Complete(t.Context(), h.Holding, claim.Answer{Status: 200}))
		result, err = claims.Withdraw(t.Context(), requestWith(key, "a"), retention)
		is.NoErr(err)
		_, unknown := result.(claim.Unknown)
		is.True(unknown) // neither the late answer nor the withdrawal changed the state
	})
}

func TestKeyOfAnotherRequestIsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var store keyvaluetest.Store
		claims := newStore(&store, "entry-1", nil)
		request := requestWith(newKey(), "a")
		_, err := claims.Claim(t.Context(), request, retention)
		is.NoErr(err)
		request.Attempt = "b"
		request.Fingerprint = claim.Fingerprint("POST", "/confirmations", []byte("two hundred trays"))
		result, err := claims.Claim(t.Context(), request, retention)
		is.NoErr(err)
		is.Equal(result, claim.Conflict{})
	})
}

func TestKeysWithoutACreationTimeAreRejected(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"", "order-7", uuid.NewString()} {
		_, err := claim.Key{ID: id}.Created()
		malformed := errors.HasType(err, (*claim.MalformedKeyError)(nil))
		is.True(malformed)
	}
}
