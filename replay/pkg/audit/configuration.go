package audit

import "time"

// configurationBound is the time within which an accepted configuration must
// be in force on every host.
const configurationBound = 5 * time.Second

// checkConfiguration checks that versions only rise on each host, and that each
// accepted version is in force on every observed host within configurationBound.
func (a *auditor) checkConfiguration(r *Result) {
	latest := map[string]int64{}
	for _, event := range a.evidence.Timeline {
		switch event.Kind {
		case Observed:
			r.Cases++
			if event.Version < latest[event.Target] {
				r.addViolation("%s went back from version %d to %d", event.Target, latest[event.Target], event.Version)
			}
			latest[event.Target] = event.Version
		case Accepted:
			for _, other := range a.evidence.Timeline {
				overdue := other.Kind == Observed && other.At.After(event.At.Add(configurationBound))
				if overdue && other.Version < event.Version {
					r.addViolation("%s still had version %d, %v after version %d", other.Target, other.Version, other.At.Sub(event.At), event.Version)
				}
			}
		}
	}
}
