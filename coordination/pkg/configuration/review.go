package configuration

import (
	"fmt"
	"net"
	"strings"

	"godwitmoor.example/coordination/pkg/document"
)

// HostLimits are the limits in the settings of hosts that a configuration may
// contradict. The zero value sets none.
type HostLimits struct {
	// Memory is the memory of a host, in bytes; zero if it is not bounded.
	Memory int64
	// Repeats is the bound on requests that are sent again; nil if there is none.
	Repeats *RepeatLimit
}

// RepeatLimit allows Ratio repeats for each request of a service, plus Slack.
type RepeatLimit struct {
	Ratio float64
	Slack float64
}

// never reports whether no request may be sent again.
func (l RepeatLimit) never() bool { return l.Ratio == 0 && l.Slack < 1 }

// Findings are what a review has found.
type Findings struct {
	// Errors are entries with which the configuration cannot work.
	Errors []document.Problem
	// Warnings are entries that never match and limits that contradict each other.
	Warnings []document.Problem
}

// reviewer collects the findings of one configuration.
type reviewer struct {
	configuration *Configuration
	limits        HostLimits
	findings      Findings
}

// Review examines a configuration in which Check found no problem. It finds entries
// that can never match, limits that contradict each other or those of the hosts, and
// routes that lead nowhere.
func (c *Configuration) Review(limits HostLimits) Findings {
	v := &reviewer{configuration: c, limits: limits}
	v.reviewRules()
	v.reviewRoutes()
	v.reviewServices()
	v.reviewCustomers()
	v.reviewLimits()
	return v.findings
}

func (v *reviewer) fail(field, message, remedy string) {
	v.findings.Errors = append(v.findings.Errors, document.Problem{Field: field, Message: message, Remedy: remedy})
}

func (v *reviewer) warn(field, message, remedy string) {
	v.findings.Warnings = append(v.findings.Warnings, document.Problem{Field: field, Message: message, Remedy: remedy})
}

func (v *reviewer) reviewRoutes() {
	type place struct{ host, prefix string }
	last := map[place]int{}
	for i, r := range v.configuration.Routes {
		last[place{r.Host, r.Prefix}] = i
	}
	for i, r := range v.configuration.Routes {
		field := fmt.Sprintf("/routes/%d", i)
		if !isHostName(r.Host) {
			v.warn(field+"/host", fmt.Sprintf("%q never matches", r.Host), "write a host name in lower case, without a port")
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			v.warn(field+"/prefix", fmt.Sprintf("%q never matches", r.Prefix), `begin and end it with a slash, such as "/orders/"`)
		}
		if n := last[place{r.Host, r.Prefix}]; n != i {
			v.warn(field, fmt.Sprintf("never matches: /routes/%d has the same host and prefix, and the last one counts", n), "remove one of the two, or change its prefix")
		}
		if r.Timeout <= 0 {
			v.fail(field+"/timeout", "is not above zero", `set a duration such as "30s"`)
		}
		if r.Repeat != Freely && r.Repeat != Never && r.Repeat != Resumed {
			v.fail(field+"/repeat", fmt.Sprintf("%q is not a way to repeat", r.Repeat), `write "freely", "never" or "resumed"`)
		}
		v.reviewTargets(field, r.Targets)
	}
}

// isHostName reports whether requests can have the host name, which is compared in
// lower case and without a port.
func isHostName(host string) bool {
	if _, _, err := net.SplitHostPort(host); err == nil {
		return false
	}
	return host != "" && host == strings.ToLower(host) && !strings.ContainsAny(host, "/ ")
}

func (v *reviewer) reviewTargets(field string, targets []Target) {
	if len(targets) == 0 {
		v.fail(field+"/targets", "names no service", "name at least one of /services")
	}
	total := 0.0
	for _, t := range targets {
		total += t.Weight
	}
	for n, t := range targets {
		if _, known := v.configuration.Service(t.Service); !known {
			v.fail(fmt.Sprintf("%s/targets/%d/service", field, n), fmt.Sprintf("there is no service %q", t.Service), "name one of /services")
		}
		if t.Weight < 0 {
			v.fail(fmt.Sprintf("%s/targets/%d/weight", field, n), "is below zero", "set a weight above zero")
		}
		if t.Weight == 0 && total > 0 {
			v.warn(fmt.Sprintf("%s/targets/%d/weight", field, n), fmt.Sprintf("service %q gets no request of the route", t.Service), "set a weight above zero, or remove the target")
		}
	}
}

// reviewServices finds services that no route leads to or, in a configuration without
// routes, that no rule names.
func (v *reviewer) reviewServices() {
	named := map[string]bool{}
	for _, r := range v.configuration.Routes {
		for _, t := range r.Targets {
			named[t.Service] = true
		}
	}
	for _, r := range v.configuration.Rules {
		named[r.Service] = true
	}
	for i, s := range v.configuration.Services {
		if named[s.Name] {
			continue
		}
		field := fmt.Sprintf("/services/%d", i)
		if len(v.configuration.Routes) > 0 {
			v.warn(field, fmt.Sprintf("no route or rule names service %q, so no route leads to it", s.Name), "add a route, or remove the service")
			continue
		}
		v.warn(field, fmt.Sprintf("no rule names service %q, so all its requests get the lowest tier", s.Name), "add a rule, or remove the service")
	}
}

// reviewCustomers finds keys that identify no customer, and customers that no key
// identifies.
func (v *reviewer) reviewCustomers() {
	last := map[string]int{}
	for i, c := range v.configuration.Customers {
		for _, key := range c.Keys {
			last[key] = i
		}
	}
	for i, c := range v.configuration.Customers {
		field := fmt.Sprintf("/customers/%d", i)
		if len(c.Keys) == 0 && len(v.configuration.Routes) > 0 {
			v.warn(field, fmt.Sprintf("customer %q has no key, so no request on a route is recognised as its own", c.Name), "add a key, or remove the customer")
		}
		for n, key := range c.Keys {
			place := fmt.Sprintf("%s/keys/%d", field, n)
			switch {
			case key == "":
				v.warn(place, "is empty and never matches", "write a key, or remove it")
			case last[key] != i:
				v.warn(place, fmt.Sprintf("never matches: customer %q has the same key, and the last one counts", v.configuration.Customers[last[key]].Name), "remove it from one of the two")
			}
		}
	}
}
