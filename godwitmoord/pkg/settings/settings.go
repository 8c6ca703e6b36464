// Package settings reads and checks the settings file that a host is started
// with.
//
// # Usage
//
//	settings, err := settings.Load("host.jsonc", settings.Overrides{})
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

// Settings holds the settings of one host, read from a file of JSON with
// comments.
type Settings struct {
	// Name is the host's name, unique in the deployment.
	Name string `json:"name"`
	// DataCentre is the data centre that the host runs in.
	DataCentre string `json:"data-centre"`
	// Listen is the address for callers, IP:PORT.
	Listen string `json:"listen"`
	// PeerListen is the address for the other hosts, IP:PORT.
	PeerListen string `json:"peer-listen"`
	// StatusListen is the address for health, metrics and operators, IP:PORT.
	StatusListen string `json:"status-listen"`
	// KeyValueURL is the URL of the platform's key-value service.
	KeyValueURL string `json:"key-value-url,omitempty"`
	// HostListURL is the URL of the platform's host list.
	HostListURL string `json:"host-list-url,omitempty"`
	// Heartbeat is the interval between probes of other hosts; default 500ms.
	Heartbeat document.Duration `json:"heartbeat,omitempty"`
	// DeadAfter is how long a suspected host may stay unresponsive before it is
	// declared lost; default 4s.
	DeadAfter document.Duration `json:"dead-after,omitempty"`
	// StopNotice is how long a stopping host still accepts new requests, so that
	// the balancer has time to notice; default 3s.
	StopNotice document.Duration `json:"stop-notice,omitempty"`
	// StopBound is how long after StopNotice the requests still in progress are
	// cut off; zero means never. On the platform, StopGrace applies instead.
	StopBound document.Duration `json:"stop-bound,omitempty"`
	// ProcessorShare is the share of each of ProcessorCores cores that this host may
	// use. Hosts with more own services; zero if it is not known.
	ProcessorShare float64 `json:"processor-share,omitempty"`
	ProcessorCores int     `json:"processor-cores,omitempty"`
	// Memory is the memory that the process may use, in MiB. Half of it may be held for
	// callers, endpoints and other hosts, the fields of requests' heads included. Zero
	// means that it bounds nothing.
	Memory int `json:"memory,omitempty"`
	// Descriptors is the number of file descriptors that the process may use. Callers and
	// other hosts may each have connections on three eighths of them, and callers on an
	// eighth of that more while requests that are still being received are refused for
	// new connections. Zero means that it bounds nothing.
	Descriptors int `json:"descriptors,omitempty"`
	// Record writes every decision to the log.
	Record bool `json:"record,omitempty"`
	// Platform is set when the platform's store holds the configuration, the
	// endpoints and the hosts, and callers use the platform's protocol.
	Platform *Platform `json:"platform,omitempty"`
}

// Platform holds the settings of a host that runs on the platform.
type Platform struct {
	// Store is the address of the platform's key-value service, IP:PORT.
	Store string `json:"store"`
	// Readiness is the address at which the balancer checks whether this host is
	// ready, IP:PORT.
	Readiness string `json:"readiness"`
	// Hosts are the peer addresses of other hosts; they may be out of date.
	Hosts []string `json:"hosts"`
	// KeyRevocation is how long a customer's key may still be accepted after its
	// removal.
	KeyRevocation document.Duration `json:"key-revocation"`
	// LeavingBound is how long after an endpoint's leaving was stored, or was said by
	// the endpoint itself, requests may still reach it; default 2s.
	LeavingBound document.Duration `json:"leaving-bound,omitempty"`
	// StopGrace is the time between the signal to stop and the kill by the
	// platform.
	StopGrace document.Duration `json:"stop-grace"`
	// RepeatRatio, RepeatSlack and RepeatWindow bound how many requests of a
	// service may be sent again: in any RepeatWindow, RepeatRatio times the number
	// of its requests, plus RepeatSlack. A RepeatWindow of zero means no bound.
	RepeatRatio  float64           `json:"repeat-ratio"`
	RepeatSlack  float64           `json:"repeat-slack"`
	RepeatWindow document.Duration `json:"repeat-window"`
	// RankWeights are the relative values of one answer of each rank, the highest
	// rank first; ranks beyond the list have the last weight. Without weights, a
	// higher rank always goes first.
	RankWeights []float64 `json:"rank-weights,omitempty"`
	// WorstRankWeight is the weight of the share of requests served in the
	// worst-served rank, relative to the value of all answers together. Zero, or
	// no rank-weights, means that this share is not considered.
	WorstRankWeight float64 `json:"worst-rank-weight,omitempty"`
	// FirstStart is set when the whole deployment starts for the first time, so
	// that no permits can have been granted earlier.
	FirstStart bool `json:"first-start,omitempty"`
	// Terms are the platform's names of the rules that apply to this deployment. They
	// switch on the features that these rules call for.
	Terms []string `json:"terms,omitempty"`
	// ExposureShare and ExposureSlack bound the requests that reach a new version of an
	// endpoint's software until it has proven itself: a fraction of the requests of its
	// service, and a number of requests. Without ExposureShare no rollouts are served.
	ExposureShare float64 `json:"exposure-share,omitempty"`
	ExposureSlack float64 `json:"exposure-slack,omitempty"`
	// RevertBound is how long after a new version has proven to be bad requests may
	// still reach it.
	RevertBound document.Duration `json:"revert-bound,omitempty"`
	// QuotaWindow is the time window over which a customer's quota is counted.
	QuotaWindow document.Duration `json:"quota-window"`
	// QuotaOvershoot and QuotaSlack are what the platform tolerates beyond a quota
	// in any window: a fraction of the quota, and a number of tokens.
	QuotaOvershoot float64 `json:"quota-overshoot,omitempty"`
	QuotaSlack     float64 `json:"quota-slack,omitempty"`
}

const (
	// maxProcessorCores is more than any host has.
	maxProcessorCores   = 1 << 16
	defaultHeartbeat    = 500 * time.Millisecond
	defaultDeadAfter    = 4 * time.Second
	defaultStopNotice   = 3 * time.Second
	defaultLeavingBound = 2 * time.Second
)

// Overrides holds the values of command-line flags. A value that is not empty
// replaces the one in the file.
type Overrides struct {
	Name         string
	Listen       string
	PeerListen   string
	StatusListen string
}

// WithOverrides returns a copy of s with the values of the flags applied.
func (s Settings) WithOverrides(o Overrides) Settings {
	s.Name = cmp.Or(o.Name, s.Name)
	s.Listen = cmp.Or(o.Listen, s.Listen)
	s.PeerListen = cmp.Or(o.PeerListen, s.PeerListen)
	s.StatusListen = cmp.Or(o.StatusListen, s.StatusListen)
	return s
}

// Capacity returns the processor time that this host may use, in thousandths of a core;
// zero if it is not known.
func (s Settings) Capacity() uint32 {
	const perCore = 1000
	return uint32(s.ProcessorShare * float64(max(s.ProcessorCores, 1)) * perCore)
}

// MemoryBytes returns the memory that the process may use, in bytes; zero if it is not
// known.
func (s Settings) MemoryBytes() int64 {
	const mebibyte = 1 << 20
	return int64(s.Memory) * mebibyte
}

// Load reads and checks a settings file.
func Load(file string, overrides Overrides) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read the settings file; check the path given with --settings")
	}
	return Parse(file, data, overrides)
}

// Parse decodes and checks the content of a settings file; file is its name in
// error messages.
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
	s.Heartbeat = valueOrDefault(s.Heartbeat, defaultHeartbeat)
	s.DeadAfter = valueOrDefault(s.DeadAfter, defaultDeadAfter)
	s.StopNotice = valueOrDefault(s.StopNotice, defaultStopNotice)
	if s.Platform != nil {
		p := *s.Platform
		p.LeavingBound = valueOrDefault(p.LeavingBound, defaultLeavingBound)
		s.Platform = &p
	}
	return s
}

func valueOrDefault(d document.Duration, defaultValue time.Duration) document.Duration {
	if d == 0 {
		return document.Duration(defaultValue)
	}
	return d
}

func (s Settings) check() []document.Problem {
	var problems []document.Problem
	add := func(field, message, remedy string) {
		problems = append(problems, document.Problem{Field: field, Message: message, Remedy: remedy})
	}
	if s.Name == "" {
		add("/name", "is empty", "set a name that no other host of the deployment has")
	}
	if s.DataCentre == "" {
		add("/data-centre", "is empty", "set the name of the host's data centre")
	}
	addresses := []struct{ field, value string }{
		{"/listen", s.Listen}, {"/peer-listen", s.PeerListen}, {"/status-listen", s.StatusListen},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			add(a.field, fmt.Sprintf("%q is not an IP address with a port", a.value), `write it as "127.0.0.1:8080"`)
		}
	}
	urls := []struct{ field, value string }{{"/key-value-url", s.KeyValueURL}, {"/host-list-url", s.HostListURL}}
	if s.Platform != nil {
		// The platform's store replaces both services.
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
	if s.ProcessorShare < 0 || s.ProcessorShare > 1 {
		add("/processor-share", "is not between 0 and 1", "set the share of a core, or leave it out")
	}
	if s.ProcessorCores < 0 || s.ProcessorCores > maxProcessorCores {
		add("/processor-cores", "is not a number of cores", "set it to 1 or more, or leave it out")
	}
	if s.Memory < 0 || s.Descriptors < 0 {
		add("/memory", "memory or descriptors is below zero", "set both to zero or above, or leave them out")
	}
	if s.DeadAfter < 2*s.Heartbeat {
		add("/dead-after", "is less than twice the heartbeat", "set it to twice the heartbeat or more")
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
			add(a.field, fmt.Sprintf("%q is not an IP address with a port", a.value), `write it as "127.0.0.1:8080"`)
		}
	}
	if p.KeyRevocation <= 0 {
		add("key-revocation", "is not above zero", `set a duration such as "5s"`)
	}
	if p.LeavingBound < 0 {
		add("leaving-bound", "is below zero", `set a duration such as "2s"`)
	}
	if p.StopGrace <= 0 {
		add("stop-grace", "is not above zero", `set a duration such as "8s"`)
	}
	if p.QuotaWindow <= 0 {
		add("quota-window", "is not above zero", `set a duration such as "8s"`)
	}
	if p.RepeatRatio < 0 || p.RepeatSlack < 0 || p.RepeatWindow < 0 {
		add("repeat-ratio", "repeat-ratio, repeat-slack or repeat-window is below zero", "set all three to zero or above")
	}
	if slices.ContainsFunc(p.RankWeights, func(weight float64) bool { return weight <= 0 }) {
		add("rank-weights", "a weight is not above zero", "set a weight above zero for each rank, or omit the list")
	}
	if p.ExposureShare < 0 || p.ExposureShare > 1 || p.ExposureSlack < 0 || p.RevertBound < 0 {
		add("exposure-share", "exposure-share is not between 0 and 1, or exposure-slack or revert-bound is below zero", "correct them, or leave out all three")
	}
	if p.WorstRankWeight < 0 {
		add("worst-rank-weight", "is below zero", "set it to zero or above")
	}
	return problems
}

// ChangedFields returns the JSON names of the fields in which two settings differ.
func ChangedFields(before, after Settings) []string {
	var names []string
	oldValue, newValue := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range oldValue.NumField() {
		if !reflect.DeepEqual(oldValue.Field(i).Interface(), newValue.Field(i).Interface()) {
			name, _, _ := strings.Cut(oldValue.Type().Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}
