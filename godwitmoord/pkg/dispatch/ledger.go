package dispatch

import (
	"time"

	"godwitmoor.example/coordination/pkg/permit"
)

// ledger remembers what was granted to this host lately, so that a new owner of
// a service can count it. The zero value is empty.
type ledger struct {
	window time.Duration
	lines  []ledgerLine
}

type ledgerLine struct {
	at       time.Time
	service  string
	customer string
	tokens   int
}

// note adds a grant, and forgets those that no window holds any more.
func (l *ledger) note(at time.Time, service, customer string, tokens int) {
	if l.window <= 0 || tokens == 0 {
		return
	}
	old := 0
	for old < len(l.lines) && at.Sub(l.lines[old].at) > l.window {
		old++
	}
	l.lines = append(l.lines[old:], ledgerLine{at: at, service: service, customer: customer, tokens: tokens})
}

// spent gives the grants of a service in the window, by customer and by second.
func (l *ledger) spent(now time.Time, service string) []permit.Spending {
	type second struct {
		customer string
		ago      int
	}
	sums := map[second]float64{}
	for _, line := range l.lines {
		age := now.Sub(line.at)
		if line.service == service && age <= l.window {
			sums[second{line.customer, int(age / time.Second)}] += float64(line.tokens)
		}
	}
	spent := make([]permit.Spending, 0, len(sums))
	for k, tokens := range sums {
		spent = append(spent, permit.Spending{Customer: k.customer, Tokens: tokens, Age: time.Duration(k.ago) * time.Second})
	}
	return spent
}
