package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
)

// nodeFields are the fields of a machine's settings, as the platform fills them into the
// template of the deploy file. The bounds are those of the small deployments.
type nodeFields struct {
	name, zone                               string
	front, readiness, control, status, store string
	seeds                                    []string
	firstStart                               bool
	memoryMb, maxFds                         int
}

// fields returns the fields by their names in the platform's pages.
func (f nodeFields) fields() map[string]any {
	ip, statusPort, _ := net.SplitHostPort(f.status)
	return map[string]any{
		"NodeName": f.name, "Zone": f.zone, "Ip": ip, "FirstStart": f.firstStart, "Seeds": f.seeds,
		"Listen":        map[string]any{"Front": f.front, "Readiness": f.readiness, "Control": f.control},
		"InternalPorts": []any{json.Number(statusPort)},
		"Limits":        map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": f.memoryMb, "MaxFds": f.maxFds},
		"Platform":      map[string]any{"Address": f.store},
		"Contracts":     []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"},
		"Bounds": map[string]any{
			"DrainMs": 2000, "GraceS": 8, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 58,
			"QuotaWindowS": 8, "QuotaOvershoot": 0.1, "QuotaSlack": 140000,
		},
	}
}

// render fills the fields into a template.
func render(template string, fields map[string]any) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		tag, after, closed := strings.Cut(rest, "}}")
		if !closed {
			return "", fmt.Errorf("a placeholder is not closed")
		}
		template = after
		if name, isSection := strings.CutPrefix(tag, "#"); isSection {
			body, end, ended := strings.Cut(after, "{{/"+name+"}}")
			if !ended {
				return "", fmt.Errorf("section %s is not closed", name)
			}
			template = end
			if value := lookup(fields, name); value != nil {
				out.WriteString(strings.ReplaceAll(body, "{{.}}", fmt.Sprint(value)))
			}
			continue
		}
		name, asJSON := strings.CutSuffix(tag, "|json")
		value := lookup(fields, name)
		if asJSON {
			data, err := json.Marshal(value)
			if err != nil {
				return "", err
			}
			out.Write(data)
			continue
		}
		if value != nil {
			fmt.Fprint(&out, value)
		}
	}
}

// lookup returns the value at a path such as a.b or a.0; nil if there is none.
func lookup(fields map[string]any, path string) any {
	var value any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			value = nil
			if name == "0" && len(v) > 0 {
				value = v[0]
			}
		default:
			return nil
		}
	}
	return value
}
