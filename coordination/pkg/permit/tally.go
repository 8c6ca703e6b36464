package permit

import "time"

// tally sums amounts over a sliding window that is divided into slots.
type tally struct {
	width int64
	slot  int64
	// There is one slot more than windowSlots because the oldest one is only
	// partly inside the window.
	amounts [windowSlots + 1]float64
}

// advance clears the slots that have left the window.
func (t *tally) advance(now Instant) {
	if t.width <= 0 {
		return
	}
	current := int64(now) / t.width
	if current-t.slot > int64(len(t.amounts)) {
		t.slot = current - int64(len(t.amounts))
	}
	for t.slot < current {
		t.slot++
		t.amounts[t.index(t.slot)] = 0
	}
}

func (t *tally) index(slot int64) int { return int(slot % int64(len(t.amounts))) }

// add counts an amount at a time that may lie in the past.
func (t *tally) add(at Instant, amount float64) {
	if t.width <= 0 {
		return
	}
	slot := int64(at) / t.width
	if slot <= t.slot && slot > t.slot-int64(len(t.amounts)) {
		t.amounts[t.index(slot)] += amount
	}
}

func (t *tally) sum() float64 {
	sum := 0.0
	for _, amount := range t.amounts {
		sum += amount
	}
	return sum
}

// dropBefore clears what was counted before an instant.
func (t *tally) dropBefore(at Instant) {
	if t.width <= 0 {
		return
	}
	first := int64(at) / t.width
	for slot := t.slot - int64(len(t.amounts)) + 1; slot < min(first, t.slot+1); slot++ {
		if slot >= 0 {
			t.amounts[t.index(slot)] = 0
		}
	}
}

// fallsTo returns how long until the sum is at most limit if nothing is added.
func (t *tally) fallsTo(limit float64, now Instant) time.Duration {
	sum := t.sum()
	for slot := t.slot - int64(len(t.amounts)) + 1; slot <= t.slot; slot++ {
		if sum <= limit {
			break
		}
		sum -= t.amounts[t.index(slot)]
		if sum <= limit {
			end := (slot + int64(len(t.amounts))) * t.width
			return Instant(end).Since(now)
		}
	}
	return 0
}

// spending returns the amounts by age.
func (t *tally) spending(customer string, now Instant) []Spending {
	var spent []Spending
	for slot := t.slot; slot > t.slot-int64(len(t.amounts)) && slot >= 0; slot-- {
		if tokens := t.amounts[t.index(slot)]; tokens > 0 {
			age := max(0, now.Since(Instant(slot*t.width)))
			spent = append(spent, Spending{Customer: customer, Tokens: tokens, Age: age})
		}
	}
	return spent
}
