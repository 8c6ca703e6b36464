package permit

import "time"

// slidingWindow sums amounts over a sliding window that is divided into buckets.
type slidingWindow struct {
	bucketWidth int64
	// newest is the number of the newest bucket, counted from instant 0.
	newest int64
	// There is one bucket more than windowBuckets because the oldest one is only
	// partly inside the window.
	buckets [windowBuckets + 1]float64
}

// advance clears the buckets that have left the window.
func (t *slidingWindow) advance(now Instant) {
	if t.bucketWidth <= 0 {
		return
	}
	current := int64(now) / t.bucketWidth
	if current-t.newest > int64(len(t.buckets)) {
		t.newest = current - int64(len(t.buckets))
	}
	for t.newest < current {
		t.newest++
		t.buckets[t.index(t.newest)] = 0
	}
}

func (t *slidingWindow) index(bucket int64) int { return int(bucket % int64(len(t.buckets))) }

// add counts an amount at a time that may lie in the past. It ignores amounts outside
// the buckets.
func (t *slidingWindow) add(at Instant, amount float64) {
	if t.bucketWidth <= 0 {
		return
	}
	bucket := int64(at) / t.bucketWidth
	if bucket <= t.newest && bucket > t.newest-int64(len(t.buckets)) {
		t.buckets[t.index(bucket)] += amount
	}
}

func (t *slidingWindow) sum() float64 {
	sum := 0.0
	for _, amount := range t.buckets {
		sum += amount
	}
	return sum
}

// clearBefore clears the buckets that end at or before an instant; the bucket that
// contains it stays.
func (t *slidingWindow) clearBefore(at Instant) {
	if t.bucketWidth <= 0 {
		return
	}
	first := int64(at) / t.bucketWidth
	for bucket := t.newest - int64(len(t.buckets)) + 1; bucket < min(first, t.newest+1); bucket++ {
		if bucket >= 0 {
			t.buckets[t.index(bucket)] = 0
		}
	}
}

// timeUntilSum returns how long until the sum is at most limit if nothing is added;
// 0 if it already is, or never will be.
func (t *slidingWindow) timeUntilSum(limit float64, now Instant) time.Duration {
	sum := t.sum()
	for bucket := t.newest - int64(len(t.buckets)) + 1; bucket <= t.newest; bucket++ {
		if sum <= limit {
			break
		}
		sum -= t.buckets[t.index(bucket)]
		if sum <= limit {
			end := (bucket + int64(len(t.buckets))) * t.bucketWidth
			return Instant(end).Since(now)
		}
	}
	return 0
}

// usageByAge returns one QuotaUsage for each bucket with a positive sum, newest first.
func (t *slidingWindow) usageByAge(customer string, now Instant) []QuotaUsage {
	var usage []QuotaUsage
	for bucket := t.newest; bucket > t.newest-int64(len(t.buckets)) && bucket >= 0; bucket-- {
		if tokens := t.buckets[t.index(bucket)]; tokens > 0 {
			age := max(0, now.Since(Instant(bucket*t.bucketWidth)))
			usage = append(usage, QuotaUsage{Customer: customer, Tokens: tokens, Age: age})
		}
	}
	return usage
}
