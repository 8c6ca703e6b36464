package configuration

import (
	"fmt"

	"godwitmoor.example/coordination/pkg/document"
)

func (v *reviewer) reviewLimits() {
	for i := range v.configuration.Services {
		v.reviewMemory(fmt.Sprintf("/services/%d", i), &v.configuration.Services[i])
	}
	for i := range v.configuration.Routes {
		v.reviewTimeouts(fmt.Sprintf("/routes/%d", i), &v.configuration.Routes[i])
		v.reviewAttempts(fmt.Sprintf("/routes/%d", i), &v.configuration.Routes[i])
	}
	for i := range v.configuration.Customers {
		v.reviewQuota(fmt.Sprintf("/customers/%d/quota", i), v.configuration.Customers[i].Quota)
	}
}

func (v *reviewer) reviewMemory(field string, s *Service) {
	if v.limits.Memory > 0 && s.BodyLimit > v.limits.Memory {
		v.warn(field+"/body-limit", fmt.Sprintf("%d is above the memory of a host, %d bytes", s.BodyLimit, v.limits.Memory), "lower it well below the memory, or raise memory in the settings")
	}
}

func (v *reviewer) reviewTimeouts(field string, r *Route) {
	if r.Timeout > 0 && r.Timeout < r.Goal {
		v.warn(field+"/timeout", fmt.Sprintf("%v is below the goal of the route, %v", r.Timeout.Std(), r.Goal.Std()), "raise the timeout or lower the goal")
	}
	for _, t := range r.Targets {
		s, known := v.configuration.Service(t.Service)
		if !known {
			continue
		}
		v.reviewGoal(field+"/goal", r.Goal, "first-byte-timeout", s.FirstByteTimeout, s.Name)
		v.reviewGoal(field+"/gap-goal", r.GapGoal, "gap-timeout", s.GapTimeout, s.Name)
	}
}

func (v *reviewer) reviewGoal(field string, goal document.Duration, timeoutName string, timeout document.Duration, service string) {
	if timeout < goal {
		v.warn(field, fmt.Sprintf("%v is above the %s of service %q, %v", goal.Std(), timeoutName, service, timeout.Std()), "raise that timeout or lower the goal")
	}
}

func (v *reviewer) reviewAttempts(field string, r *Route) {
	if v.limits.Repeats != nil && v.limits.Repeats.never() && r.Repeat != Never && r.MaxAttempts > 1 {
		v.warn(field+"/max-attempts", fmt.Sprintf("%d attempts are allowed, but repeat-ratio and repeat-slack of the settings allow no repeat", r.MaxAttempts), "set it to 1, or raise repeat-ratio or repeat-slack")
	}
}

func (v *reviewer) reviewQuota(field string, q *Quota) {
	if q == nil || !q.Bounded() {
		return
	}
	// A request is charged at least one token.
	if request := max(q.PlainTokens, 1); q.Burst < float64(request) {
		v.warn(field+"/burst", fmt.Sprintf("%v is below one request, %d tokens", q.Burst, request), "raise it to the tokens of one request or more")
	}
}

// ReviewRepeats returns the problem, without a place, of a ratio of repeats that no
// route can reach; false if there is none.
func (c *Configuration) ReviewRepeats(limit RepeatLimit) (document.Problem, bool) {
	highest := 0
	for _, r := range c.Routes {
		highest = max(highest, r.MaxAttempts-1)
	}
	if len(c.Routes) == 0 || limit.Ratio <= float64(highest) {
		return document.Problem{}, false
	}
	return document.Problem{
		Message: fmt.Sprintf("%v repeats for each request is above what the routes allow, %d, so it bounds nothing", limit.Ratio, highest),
		Remedy:  "lower it, or raise max-attempts of a route",
	}, true
}
