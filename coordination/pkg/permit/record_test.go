package permit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"godwitmoor.example/coordination/pkg/permit"
)

func TestEveryEventCanBeReadFromItsRecord(t *testing.T) {
	at := permit.Instant(5)
	events := []permit.Event{
		permit.Configured{At: at},
		permit.Regained{At: at, EarlierGrants: permit.EarlierGrants{Unread: true}},
		permit.Shared{At: at, QuotaUsed: []permit.QuotaUsage{{Customer: "tower", Tokens: 1}}},
		permit.Asked{At: at, Ask: permit.Ask{ID: "a"}},
		permit.Withdrawn{At: at, ID: "a"},
		permit.Finished{At: at, ID: "a", Usage: permit.Usage{Total: time.Second}},
		permit.Progressed{At: at, ID: "a", Usage: permit.Usage{FirstByte: time.Second}},
		permit.Failed{At: at, ID: "a", Fault: permit.Lost},
		permit.Stalled{At: at, ID: "a"},
		permit.Warned{At: at, Held: []permit.HeldParts{{Parts: []string{"p"}, Left: time.Second}}},
		permit.Limited{At: at, Limit: permit.RateLimit{Endpoint: "engine-1", Named: true, PerSecond: 2.5}},
		permit.Slowed{At: at, Endpoint: "engine-1", Slowness: 2.5, Age: time.Millisecond},
		permit.Finished{At: at, ID: "a", Usage: permit.Usage{Total: time.Second, Slowness: 2.5}},
		permit.Measured{At: at, DataCentre: "lorient", RoundTrips: []permit.RoundTrip{{To: "brest", Time: time.Millisecond}}},
		permit.Listed{At: at, Host: "entry-1"},
		permit.Reported{At: at, Endpoint: "engine-1", Running: 3},
		permit.Marked{At: at, Endpoint: "engine-1", Open: true},
		permit.Steered{At: at, Steering: permit.Steering{Target: "2", Barred: []string{"2"}, Trial: permit.Trial{Endpoint: "engine-1", UpTo: 12, Routes: []string{"order"}}}},
		permit.HostLost{At: at, Host: "entry-1"},
		permit.Ticked{At: at},
	}
	for _, event := range events {
		is := is.New(t)
		line, err := permit.Line{}.WithDecision(event, nil)
		is.NoErr(err)
		decoded, err := line.Decode()
		is.NoErr(err)
		is.Equal(decoded, event)
	}
}
