package permit

const (
	// sampleDecay is the weight that older samples keep with each new one.
	sampleDecay = 0.95
	// minSampleWeight is the total weight of samples below which no line is fitted.
	minSampleWeight = 2.5
	// minSpread is the smallest spread of the samples, relative to their mean,
	// from which a line is fitted.
	minSpread = 0.3
)

// lineFit fits y = intercept + slope*x to samples by least squares and weights newer
// samples more. The zero value has no samples.
type lineFit struct{ weight, x, y, xx, xy float64 }

func (l *lineFit) add(x, y float64) {
	l.weight = sampleDecay*l.weight + 1
	l.x = sampleDecay*l.x + x
	l.y = sampleDecay*l.y + y
	l.xx = sampleDecay*l.xx + x*x
	l.xy = sampleDecay*l.xy + x*y
}

// solve returns the fitted line with neither coefficient below zero. fits is false
// if the samples do not determine a line.
func (l *lineFit) solve() (intercept, slope float64, fits bool) {
	if l.weight < minSampleWeight {
		return 0, 0, false
	}
	meanX, meanY := l.x/l.weight, l.y/l.weight
	variance := l.xx/l.weight - meanX*meanX
	if variance < minSpread*minSpread*meanX*meanX {
		return 0, 0, false
	}
	slope = max(0, (l.xy/l.weight-meanX*meanY)/variance)
	intercept = meanY - slope*meanX
	if intercept < 0 {
		return 0, l.xy / l.xx, true
	}
	return intercept, slope, true
}
