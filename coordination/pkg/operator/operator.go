// Package operator is a library with which operators define a deployment in a Go
// program. The program prints the configuration, which they review and apply.
//
// # Usage
//
//	deployment := operator.New("Lunch orders").
//		WithTier("allergen", 2*time.Second, "a fast yes or no").
//		WithCustomer("office-1", token, "allergen")
//	if err := deployment.Print(os.Stdout); err != nil { … }
//
// Every With method returns a new Deployment and leaves the original unchanged.
// Print checks all settings and returns the problems found, each with its field.
package operator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"godwitmoor.example/coordination/pkg/configuration"
	"godwitmoor.example/coordination/pkg/document"
)

const (
	defaultQueueLimit        = 10_000
	defaultBodyLimit         = 4 << 20
	defaultFirstByteTimeout  = 30 * time.Second
	defaultGapTimeout        = 10 * time.Second
	defaultRetention         = 24 * time.Hour
	defaultStoredAnswerLimit = 64 << 10
	defaultGoodputWeight     = 0.5
	indent                   = "  "
)

// Deployment is the configuration that a program builds, with a title and notes
// that are printed as comments.
type Deployment struct {
	title         string
	configuration configuration.Configuration
	notes         map[string]string
}

// New returns a deployment with default settings and no tier, customer or service.
func New(title string) Deployment {
	return Deployment{
		title: title,
		configuration: configuration.Configuration{
			GoodputWeight: defaultGoodputWeight,
			Claims: configuration.Claims{
				Retention:         document.Duration(defaultRetention),
				StoredAnswerLimit: defaultStoredAnswerLimit,
			},
		},
	}
}

func (d Deployment) withNote(field, note string) Deployment {
	notes := make(map[string]string, len(d.notes)+1)
	for k, v := range d.notes {
		notes[k] = v
	}
	notes[field] = note
	d.notes = notes
	return d
}

// WithGoodputWeight sets the balance between goodput by tier (1) and avoiding
// wasted prefill (0).
func (d Deployment) WithGoodputWeight(weight float64) Deployment {
	d.configuration.GoodputWeight = weight
	return d
}

// WithClaims sets the age up to which request keys are accepted, and the largest
// answer stored for a repeated key, in bytes.
func (d Deployment) WithClaims(retention time.Duration, storedAnswerLimit int) Deployment {
	d.configuration.Claims = configuration.Claims{
		Retention:         document.Duration(retention),
		StoredAnswerLimit: storedAnswerLimit,
	}
	return d
}

// WithTier adds a tier that ranks below the tiers added before. The note is
// printed with it as a comment.
func (d Deployment) WithTier(name string, deadline time.Duration, note string) Deployment {
	tier := configuration.Tier{Name: name, Deadline: document.Duration(deadline)}
	d.configuration.Tiers = append(slices.Clip(d.configuration.Tiers), tier)
	return d.withNote("tiers/"+name, note)
}

// WithCustomer adds a customer with its bearer token and the tiers that it may
// use. Only the token's digest is printed.
func (d Deployment) WithCustomer(name, token string, tiers ...string) Deployment {
	digest := sha256.Sum256([]byte(token))
	customer := configuration.Customer{Name: name, TokenSHA256: hex.EncodeToString(digest[:]), Tiers: tiers}
	d.configuration.Customers = append(slices.Clip(d.configuration.Customers), customer)
	return d
}

// WithService adds a service. Limits and timeouts of zero are replaced by the
// defaults.
func (d Deployment) WithService(s configuration.Service, note string) Deployment {
	if s.QueueLimit == 0 {
		s.QueueLimit = defaultQueueLimit
	}
	if s.BodyLimit == 0 {
		s.BodyLimit = defaultBodyLimit
	}
	if s.FirstByteTimeout == 0 {
		s.FirstByteTimeout = document.Duration(defaultFirstByteTimeout)
	}
	if s.GapTimeout == 0 {
		s.GapTimeout = document.Duration(defaultGapTimeout)
	}
	d.configuration.Services = append(slices.Clip(d.configuration.Services), s)
	return d.withNote("services/"+s.Name, note)
}

// WithEndpointLeaving stops new requests from being sent to an endpoint.
func (d Deployment) WithEndpointLeaving(name string) Deployment {
	d.configuration = d.configuration.WithEndpointLeaving(name)
	return d
}

// WithEndpoint adds an endpoint to a service. All its settings but the name and
// the address are copied from the service's first endpoint; a service without
// endpoints is left unchanged.
func (d Deployment) WithEndpoint(service, name, address string) Deployment {
	d.configuration.Services = slices.Clone(d.configuration.Services)
	for i := range d.configuration.Services {
		s := &d.configuration.Services[i]
		if s.Name != service || len(s.Endpoints) == 0 {
			continue
		}
		added := s.Endpoints[0]
		added.Name, added.Address = name, address
		s.Endpoints = append(slices.Clip(s.Endpoints), added)
	}
	return d
}

// WithInFlightLimit sets the in-flight limit of every endpoint of a service.
func (d Deployment) WithInFlightLimit(service string, limit int) Deployment {
	d.configuration.Services = slices.Clone(d.configuration.Services)
	for i := range d.configuration.Services {
		s := &d.configuration.Services[i]
		if s.Name != service {
			continue
		}
		s.Endpoints = slices.Clone(s.Endpoints)
		for n := range s.Endpoints {
			s.Endpoints[n].InFlightLimit = limit
		}
	}
	return d
}

// WithRule adds a rule after the rules added before; the first rule that matches a
// request applies.
func (d Deployment) WithRule(r configuration.Rule, note string) Deployment {
	field := fmt.Sprintf("rules/%d", len(d.configuration.Rules))
	d.configuration.Rules = append(slices.Clip(d.configuration.Rules), r)
	return d.withNote(field, note)
}

// Configuration returns the configuration built so far.
func (d Deployment) Configuration() configuration.Configuration { return d.configuration }

// Print writes the checked configuration as JSON with comments.
func (d Deployment) Print(w io.Writer) error {
	if problems := d.configuration.Check(); len(problems) > 0 {
		return &document.ProblemsError{Problems: document.Locate("deployment", nil, problems)}
	}
	var buffer bytes.Buffer
	p := printer{out: &buffer, notes: d.notes}
	p.line(0, "// %s", d.title)
	p.line(0, "{")
	p.line(1, "// 1 favours goodput by tier, 0 avoids wasting prefill that is already computed.")
	p.line(1, `"goodput-weight": %v,`, d.configuration.GoodputWeight)
	p.line(1, "// Tiers of work, the highest first.")
	printList(&p, "tiers", d.configuration.Tiers, func(t configuration.Tier) string { return t.Name })
	p.line(1, "// Customers, with the digest of their token and the tiers that they may use.")
	printList(&p, "customers", d.configuration.Customers, func(c configuration.Customer) string { return c.Name })
	p.line(1, "// Services, by path prefix, with their endpoints.")
	printList(&p, "services", d.configuration.Services, func(s configuration.Service) string { return s.Name })
	p.line(1, "// Rules; the first that matches a request applies. A request that no rule")
	p.line(1, "// matches is idempotent only if it is a GET, HEAD or OPTIONS.")
	number := -1
	printList(&p, "rules", d.configuration.Rules, func(configuration.Rule) string {
		number++
		return fmt.Sprint(number)
	})
	p.line(1, "// Idempotency records of non-idempotent requests.")
	p.value(`"claims": `, d.configuration.Claims, "")
	p.line(0, "}")
	if p.err != nil {
		return p.err
	}
	_, err := w.Write(buffer.Bytes())
	return errors.Wrap(err, "print the configuration")
}

// printer writes lines to out. err is the first encoding error, combined with
// any later ones.
type printer struct {
	out   *bytes.Buffer
	notes map[string]string
	err   error
}

func (p *printer) line(depth int, format string, values ...any) {
	fmt.Fprintf(p.out, strings.Repeat(indent, depth)+format+"\n", values...)
}

func (p *printer) value(label string, value any, separator string) {
	prefix := strings.Repeat(indent, strings.Count(label, indent)+1)
	data, err := json.MarshalIndent(value, prefix, indent)
	if err != nil {
		p.err = errors.CombineErrors(p.err, errors.Wrap(err, "encode the configuration"))
		return
	}
	fmt.Fprintf(p.out, "%s%s%s%s\n", indent, label, data, separator)
}

func printList[T any](p *printer, name string, items []T, nameOf func(T) string) {
	p.line(1, "%q: [", name)
	for i, item := range items {
		if note := p.notes[name+"/"+nameOf(item)]; note != "" {
			p.line(2, "// %s", note)
		}
		separator := ","
		if i == len(items)-1 {
			separator = ""
		}
		p.value(indent, item, separator)
	}
	p.line(1, "],")
}
