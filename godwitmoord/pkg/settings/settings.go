// Package settings is what one host is told at its start.
//
// # Usage
//
//	settings, err := settings.Load("host.jsonc")
package settings

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/document"
)

// Settings is the settings file, JSON with comments.
type Settings struct {
	// Name is the host's name, unique in the deployment.
	Name string `json:"name"`
	// DataCentre is where the host stands.
	DataCentre string `json:"data-centre"`
	// Listen is the address for callers, IP:PORT.
	Listen string `json:"listen"`
	// PeerListen is the address for the other hosts, IP:PORT.
	PeerListen string `json:"peer-listen"`
	// StatusListen is the address for health, metrics and operators, IP:PORT.
	StatusListen string `json:"status-listen"`
	// KeyValueURL is the platform's key-value service.
	KeyValueURL string `json:"key-value-url,omitempty"`
	// HostListURL is the platform's host list.
	HostListURL string `json:"host-list-url,omitempty"`
	// Heartbeat is the time between two probes of other hosts; default 500ms.
	Heartbeat document.Duration `json:"heartbeat,omitempty"`
	// DeadAfter is how long a suspected host may stay silent before it counts as
	// gone; default 4s.
	DeadAfter document.Duration `json:"dead-after,omitempty"`
	// StopNotice is how long a stopping host still takes new requests, so that
	// the balancer notices; default 3s.
	StopNotice document.Duration `json:"stop-notice,omitempty"`
	// StopBound cuts what still runs that long after the stop; zero never cuts.
	StopBound document.Duration `json:"stop-bound,omitempty"`
	// Record writes every decision to the log.
	Record bool `json:"record,omitempty"`
	// Platform is set where the platform's store holds the configuration, the
	// endpoints and the hosts, and callers speak the platform's protocol.
	Platform *Platform `json:"platform,omitempty"`
}

// Platform is what a host is told of the platform it runs on.
type Platform struct {
	// Store is the address of the platform's key-value service, IP:PORT.
	Store string `json:"store"`
	// Readiness is the address where the balancer asks whether this host is
	// ready, IP:PORT.
	Readiness string `json:"readiness"`
	// Hosts are addresses of other hosts for peers, which may be out of date.
	Hosts []string `json:"hosts"`
	// KeyRevocation is how long after its removal a customer's key may still be
	// accepted.
	KeyRevocation document.Duration `json:"key-revocation"`
	// StopGrace is the time between the signal to stop and the kill.
	StopGrace document.Duration `json:"stop-grace"`
	// RepeatRatio is the share of a service's requests that may be sent once
	// more; RepeatSlack is how many more may be, in RepeatWindow.
	RepeatRatio  float64           `json:"repeat-ratio"`
	RepeatSlack  float64           `json:"repeat-slack"`
	RepeatWindow document.Duration `json:"repeat-window"`
	// RankWeights are what answers of each rank are worth beside each other, the
	// highest rank first; ranks beyond count as the last. None means that a
	// higher rank always goes first.
	RankWeights []float64 `json:"rank-weights,omitempty"`
	// WorstRankWeight is how much the share that is served of the worst-served
	// rank counts beside the worth of all that is served. Zero, and without
	// rank-weights, not at all.
	WorstRankWeight float64 `json:"worst-rank-weight,omitempty"`
	// FirstStart says that the whole deployment starts for the first time, so that
	// nothing can have been granted before.
	FirstStart bool `json:"first-start,omitempty"`
	// QuotaWindow is the span in which a customer's quota is counted.
	QuotaWindow document.Duration `json:"quota-window"`
	// QuotaOvershoot and QuotaSlack are what the platform tolerates beyond a quota
	// in any window: a share of it, and tokens.
	QuotaOvershoot float64 `json:"quota-overshoot,omitempty"`
	QuotaSlack     float64 `json:"quota-slack,omitempty"`
}

const (
	defaultHeartbeat  = 500 * time.Millisecond
	defaultDeadAfter  = 4 * time.Second
	defaultStopNotice = 3 * time.Second
)

// Overrides are values of flags that go before those of the file; empty ones do
// not.
type Overrides struct {
	Name         string
	Listen       string
	PeerListen   string
	StatusListen string
}

// WithOverrides gives a copy in which the values of flags stand.
func (s Settings) WithOverrides(o Overrides) Settings {
	s.Name = cmp.Or(o.Name, s.Name)
	s.Listen = cmp.Or(o.Listen, s.Listen)
	s.PeerListen = cmp.Or(o.PeerListen, s.PeerListen)
	s.StatusListen = cmp.Or(o.StatusListen, s.StatusListen)
	return s
}

// Load reads and checks a settings file.
func Load(file string, overrides Overrides) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read the settings; name the file with --settings")
	}
	return Parse(file, data, overrides)
}

// Parse checks settings that were read already.
func Parse(file string, data []byte, overrides Overrides) (Settings, error) {
	var s Settings
	if err := document.Decode(file, data, &s); err != nil {
		return Settings{}, err
	}
	s = s.WithOverrides(overrides).withDefaults()
	if problems := s.check(); len(problems) > 0 {
		return Settings{}, &document.ProblemsError{Problems: document.Locate(file, data, problems)}
	}
	return s, nil
}

func (s Settings) withDefaults() Settings {
	s.Heartbeat = orDefault(s.Heartbeat, defaultHeartbeat)
	s.DeadAfter = orDefault(s.DeadAfter, defaultDeadAfter)
	s.StopNotice = orDefault(s.StopNotice, defaultStopNotice)
	return s
}

func orDefault(d document.Duration, otherwise time.Duration) document.Duration {
	if d == 0 {
		return document.Duration(otherwise)
	}
	return d
}

func (s Settings) check() []document.Problem {
	var problems []document.Problem
	add := func(field, message, remedy string) {
		problems = append(problems, document.Problem{Field: field, Message: message, Remedy: remedy})
	}
	if s.Name == "" {
		add("/name", "is empty", "give the host a name of its own")
	}
	if s.DataCentre == "" {
		add("/data-centre", "is empty", "name the data centre")
	}
	addresses := []struct{ field, value string }{
		{"/listen", s.Listen}, {"/peer-listen", s.PeerListen}, {"/status-listen", s.StatusListen},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.field, fmt.Sprintf("%q is not an IP number with a port", a.value), `write it as "127.0.0.1:8080"`)
		}
	}
	urls := []struct{ field, value string }{{"/key-value-url", s.KeyValueURL}, {"/host-list-url", s.HostListURL}}
	if s.Platform != nil {
		// The platform's store stands for both.
		urls = nil
		problems = append(problems, s.Platform.check()...)
	}
	for _, u := range urls {
		parsed, err := url.Parse(u.value)
		if err != nil || parsed.Scheme != "http" || parsed.Host == "" {
			add(u.field, fmt.Sprintf("%q is not an HTTP URL", u.value), `write it as "http://127.0.0.1:2379"`)
		}
	}
	durations := []struct {
		field string
		value document.Duration
	}{
		{"/heartbeat", s.Heartbeat}, {"/dead-after", s.DeadAfter},
		{"/stop-notice", s.StopNotice}, {"/stop-bound", s.StopBound},
	}
	for _, d := range durations {
		if d.value < 0 {
			add(d.field, "is below zero", `set a duration such as "3s"`)
		}
	}
	if s.DeadAfter < 2*s.Heartbeat {
		add("/dead-after", "does not fit the heartbeat", "keep it at twice the heartbeat or more")
	}
	return problems
}

func (p *Platform) check() []document.Problem {
	var problems []document.Problem
	add := func(field, message, remedy string) {
		problems = append(problems, document.Problem{Field: "/platform/" + field, Message: message, Remedy: remedy})
	}
	addresses := []struct{ field, value string }{{"store", p.Store}, {"readiness", p.Readiness}}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.field, fmt.Sprintf("%q is not an IP number with a port", a.value), `write it as "127.0.0.1:8080"`)
		}
	}
	if p.KeyRevocation <= 0 {
		add("key-revocation", "is not above zero", `set a duration such as "5s"`)
	}
	if p.StopGrace <= 0 {
		add("stop-grace", "is not above zero", `set a duration such as "8s"`)
	}
	if p.QuotaWindow <= 0 {
		add("quota-window", "is not above zero", `set a duration such as "8s"`)
	}
	if p.RepeatRatio < 0 || p.RepeatSlack < 0 || p.RepeatWindow < 0 {
		add("repeat-ratio", "the bound on repeats is below zero", "set ratio, slack and window to zero or above")
	}
	if slices.ContainsFunc(p.RankWeights, func(weight float64) bool { return weight <= 0 }) {
		add("rank-weights", "a weight is not above zero", "give each rank a weight above zero, or leave the list out")
	}
	if p.WorstRankWeight < 0 {
		add("worst-rank-weight", "is below zero", "set it to zero or above")
	}
	return problems
}

// Changed gives the fields, by JSON name, in which two settings differ.
func Changed(before, after Settings) []string {
	var names []string
	old, fresh := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		if !reflect.DeepEqual(old.Field(i).Interface(), fresh.Field(i).Interface()) {
			name, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}
