package permit

const (
	// memory is the weight that older samples keep with each new one.
	memory = 0.95
	// fewSamples is the total weight of samples below which no line is fitted.
	fewSamples = 2.5
	// leastSpread is the smallest spread of the samples, relative to their mean,
	// from which a line is fitted.
	leastSpread = 0.3
)

// line fits y = fixed + each*x to samples by least squares and weights newer samples
// more. The zero value has no samples.
type line struct{ n, x, y, xx, xy float64 }

func (l *line) add(x, y float64) {
	l.n = memory*l.n + 1
	l.x = memory*l.x + x
	l.y = memory*l.y + y
	l.xx = memory*l.xx + x*x
	l.xy = memory*l.xy + x*y
}

// solve returns the fitted line with neither coefficient below zero. fits is false
// if the samples do not determine a line.
func (l *line) solve() (fixed, each float64, fits bool) {
	if l.n < fewSamples {
		return 0, 0, false
	}
	meanX, meanY := l.x/l.n, l.y/l.n
	variance := l.xx/l.n - meanX*meanX
	if variance < leastSpread*leastSpread*meanX*meanX {
		return 0, 0, false
	}
	each = max(0, (l.xy/l.n-meanX*meanY)/variance)
	fixed = meanY - each*meanX
	if fixed < 0 {
		return 0, l.xy / l.xx, true
	}
	return fixed, each, true
}
