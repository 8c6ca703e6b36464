package configuration

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net/netip"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/document"
)

const (
	maxInFlightLimit        = 4096
	maxQueueLimit           = 1_000_000
	maxBodyLimit            = 64 << 20
	maxStoredAnswer         = 256 << 10
	minRetention            = time.Minute
	maxRetention            = 31 * 24 * time.Hour
	sha256HexadecimalLength = 64
)

// publicCustomerFields are the fields of a customer whose values may be shown.
var publicCustomerFields = []string{"name", "tiers", "rank", "quota"}

// Parse decodes a configuration and checks every setting. Problems are returned
// as a *document.ProblemsError; each has the file, the line, the field and a
// remedy. What could be decoded is checked also if other fields could not.
func Parse(file string, data []byte) (Configuration, error) {
	var c Configuration
	var undecoded *document.ProblemsError
	if err := document.Decode(file, data, &c); err != nil && !errors.As(err, &undecoded) {
		return Configuration{}, err
	}
	var problems []document.Problem
	if undecoded != nil {
		problems = undecoded.Problems
	}
	if !slices.ContainsFunc(problems, concernsDocument) {
		k := &checker{configuration: &c, undecoded: problems}
		k.check()
		problems = append(problems, Locate(file, data, withoutFields(k.problems, problems))...)
	}
	if len(problems) == 0 {
		return c, nil
	}
	slices.SortStableFunc(problems, func(a, b document.Problem) int { return cmp.Compare(a.Line, b.Line) })
	return Configuration{}, &document.ProblemsError{Problems: withoutSecrets(problems)}
}

// Locate returns the problems of a configuration with their file, line and value; the
// values of tokens and keys are left out.
func Locate(file string, data []byte, problems []document.Problem) []document.Problem {
	return withoutSecrets(document.Locate(file, data, problems))
}

// concernsDocument reports whether the problem concerns the document as a whole, so
// that no field was decoded.
func concernsDocument(p document.Problem) bool { return p.Field == "" || p.Field == "/" }

// withoutFields returns the problems that concern neither a field in undecoded nor a
// field below one.
func withoutFields(problems, undecoded []document.Problem) []document.Problem {
	return slices.DeleteFunc(problems, func(p document.Problem) bool {
		return slices.ContainsFunc(undecoded, func(u document.Problem) bool {
			return strings.HasPrefix(p.Field+"/", u.Field+"/")
		})
	})
}

// withoutSecrets removes the values that may be a token or a key. An unknown field of a
// customer may be a misspelled one of these.
func withoutSecrets(problems []document.Problem) []document.Problem {
	for i := range problems {
		if mayBeSecret(problems[i].Field) {
			problems[i].Value = ""
		}
	}
	return problems
}

// mayBeSecret reports whether the value of a field may be a token or a key.
func mayBeSecret(field string) bool {
	item, ofCustomer := strings.CutPrefix(field, "/customers/")
	_, member, _ := strings.Cut(item, "/")
	member, _, _ = strings.Cut(member, "/")
	return ofCustomer && !slices.Contains(publicCustomerFields, member)
}

// checker collects the problems of one configuration.
type checker struct {
	configuration *Configuration
	// undecoded are the problems of the fields that could not be decoded.
	undecoded []document.Problem
	problems  []document.Problem
}

// Check returns the problems of the configuration's values, each with its field.
func (c *Configuration) Check() []document.Problem {
	k := &checker{configuration: c}
	k.check()
	return k.problems
}

func (k *checker) check() {
	if c := k.configuration; c.GoodputWeight < 0 || c.GoodputWeight > 1 {
		k.add("/goodput-weight", "is outside 0 to 1", "set a number from 0 (avoid wasted prefill) to 1 (goodput by tier first)")
	}
	k.checkTiers()
	k.checkCustomers()
	k.checkServices()
	k.checkRules()
	k.checkClaims()
}

// allNamesKnown reports whether the names of all items of a list were decoded. If not, a
// name that is not among them may be right.
func (k *checker) allNamesKnown(list string) bool {
	return !slices.ContainsFunc(k.undecoded, func(p document.Problem) bool {
		item, below := strings.CutPrefix(p.Field, list+"/")
		return p.Field == list || below && (!strings.Contains(item, "/") || path.Base(item) == "name")
	})
}

func (k *checker) add(field, message, remedy string) {
	k.problems = append(k.problems, document.Problem{Field: field, Message: message, Remedy: remedy})
}

func (k *checker) checkName(seen map[string]bool, field, name string) {
	switch {
	case name == "":
		k.add(field, "is empty", "set a name")
	case strings.ContainsAny(name, "/ \t\n"):
		k.add(field, fmt.Sprintf("%q contains a space or a slash", name), "use letters, digits, dots and hyphens")
	case seen[name]:
		k.add(field, fmt.Sprintf("%q is used twice", name), "choose a unique name")
	}
	seen[name] = true
}

func (k *checker) checkTierExists(field, name string) {
	if _, known := k.configuration.TierRank(name); !known && k.allNamesKnown("/tiers") {
		k.add(field, fmt.Sprintf("there is no tier %q", name), "name one of /tiers")
	}
}

func (k *checker) checkRange(field string, value, highest int64) {
	if value < 1 || value > highest {
		k.add(field, fmt.Sprintf("%d is outside 1 to %d", value, highest), "set a number in that range")
	}
}

func (k *checker) checkTiers() {
	if len(k.configuration.Tiers) == 0 {
		k.add("/tiers", "there is no tier", "declare at least one")
	}
	seen := map[string]bool{}
	for i, t := range k.configuration.Tiers {
		field := fmt.Sprintf("/tiers/%d", i)
		k.checkName(seen, field+"/name", t.Name)
		if t.Deadline <= 0 {
			k.add(field+"/deadline", "is not above zero", `set a duration such as "2s"`)
		}
	}
}

func (k *checker) checkCustomers() {
	names, tokens := map[string]bool{}, map[string]bool{}
	for i, c := range k.configuration.Customers {
		field := fmt.Sprintf("/customers/%d", i)
		k.checkName(names, field+"/name", c.Name)
		_, err := hex.DecodeString(c.TokenSHA256)
		if err != nil || len(c.TokenSHA256) != sha256HexadecimalLength {
			k.add(field+"/token-sha256", "is not a SHA-256 digest", "write 64 hexadecimal digits, in lower case")
		}
		if tokens[c.TokenSHA256] {
			k.add(field+"/token-sha256", "is also the token of another customer", "use a different token for each customer")
		}
		tokens[c.TokenSHA256] = true
		if len(c.Tiers) == 0 {
			k.add(field+"/tiers", "names no tier", "name at least one of /tiers")
		}
		for n, tier := range c.Tiers {
			k.checkTierExists(fmt.Sprintf("%s/tiers/%d", field, n), tier)
		}
	}
}

func (k *checker) checkServices() {
	names, prefixes, endpoints := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range k.configuration.Services {
		s := &k.configuration.Services[i]
		field := fmt.Sprintf("/services/%d", i)
		k.checkName(names, field+"/name", s.Name)
		if !strings.HasPrefix(s.Prefix, "/") || s.Prefix != path.Clean(s.Prefix) {
			k.add(field+"/prefix", fmt.Sprintf("%q is not a clean absolute path", s.Prefix), `write it as "/name", without a final slash`)
		}
		if prefixes[s.Prefix] {
			k.add(field+"/prefix", fmt.Sprintf("%q is used twice", s.Prefix), "choose a different prefix for each service")
		}
		prefixes[s.Prefix] = true
		if s.Kind != Model && s.Kind != Application {
			k.add(field+"/kind", fmt.Sprintf("%q is not a kind of service", s.Kind), `write "model" or "application"`)
		}
		k.checkRange(field+"/queue-limit", int64(s.QueueLimit), maxQueueLimit)
		k.checkRange(field+"/body-limit", s.BodyLimit, maxBodyLimit)
		if s.FirstByteTimeout <= 0 {
			k.add(field+"/first-byte-timeout", "is not above zero", `set a duration such as "30s"`)
		}
		if s.GapTimeout <= 0 {
			k.add(field+"/gap-timeout", "is not above zero", `set a duration such as "10s"`)
		}
		for n := range s.Endpoints {
			k.checkEndpoint(fmt.Sprintf("%s/endpoints/%d", field, n), &s.Endpoints[n], endpoints)
		}
	}
}

func (k *checker) checkEndpoint(field string, e *Endpoint, seen map[string]bool) {
	k.checkName(seen, field+"/name", e.Name)
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		k.add(field+"/address", fmt.Sprintf("%q is not an IP address with a port", e.Address), `write it as "127.0.0.1:8000"`)
	}
	if e.DataCentre == "" {
		k.add(field+"/data-centre", "is empty", "set the name of the data centre in which the endpoint runs")
	}
	k.checkRange(field+"/in-flight-limit", int64(e.InFlightLimit), maxInFlightLimit)
	if e.PrefillSpeed < 0 {
		k.add(field+"/prefill-speed", "is below zero", "set a rate in tokens/s, or omit the field")
	}
	if e.DecodeSpeed < 0 {
		k.add(field+"/decode-speed", "is below zero", "set a rate in tokens/s, or omit the field")
	}
}

func (k *checker) checkRules() {
	for i, r := range k.configuration.Rules {
		field := fmt.Sprintf("/rules/%d", i)
		if _, known := k.configuration.Service(r.Service); !known && k.allNamesKnown("/services") {
			k.add(field+"/service", fmt.Sprintf("there is no service %q", r.Service), "name one of /services")
		}
		for n, method := range r.Methods {
			if method == "" || method != strings.ToUpper(method) {
				k.add(fmt.Sprintf("%s/methods/%d", field, n), fmt.Sprintf("%q is not an HTTP method in capitals", method), "write it in capitals, such as POST")
			}
		}
		if _, err := path.Match(r.Path, "/"); err != nil {
			k.add(field+"/path", fmt.Sprintf("%q is not a valid pattern", r.Path), "use the pattern syntax of Go's path.Match")
		}
		k.checkTierExists(field+"/tier", r.Tier)
	}
}

func (k *checker) checkClaims() {
	retention := k.configuration.Claims.Retention.Std()
	if retention < minRetention || retention > maxRetention {
		k.add("/claims/retention", fmt.Sprintf("%v is outside %v to %v", retention, minRetention, maxRetention), `set a duration such as "24h"`)
	}
	limit := k.configuration.Claims.StoredAnswerLimit
	if limit < 0 || limit > maxStoredAnswer {
		k.add("/claims/stored-answer-limit", fmt.Sprintf("%d is outside 0 to %d bytes", limit, maxStoredAnswer), "set a number of bytes in that range")
	}
}
