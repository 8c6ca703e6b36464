package configuration

import (
	"fmt"
	"path"
	"slices"
	"strings"
)

const (
	subtreeSuffix = "/**"
	// patternCharacters are those with a meaning in the patterns of path.Match.
	patternCharacters = `*?[\`
	// firstCharacters are those that a pattern can begin with if it matches a slash.
	firstCharacters = `/[\`
)

func (v *reviewer) reviewRules() {
	rules := v.configuration.Rules
	for i, r := range rules {
		field := fmt.Sprintf("/rules/%d", i)
		if r.Path != "" && !strings.ContainsAny(r.Path[:1], firstCharacters) {
			v.warn(field+"/path", fmt.Sprintf("%q never matches: paths begin with a slash", r.Path), `begin it with a slash, such as "/v1/**"`)
			continue
		}
		if hiding, hidden := r.hiddenBy(rules[:i]); hidden {
			v.warn(field, fmt.Sprintf("never matches: %s all its requests before it", takenBy(hiding)), "move it up, narrow what hides it, or remove it")
		}
	}
}

func takenBy(rules []string) string {
	if len(rules) == 1 {
		return rules[0] + " takes"
	}
	return strings.Join(rules, " and ") + " take"
}

// hiddenBy returns the fields of the earlier rules that together match every request
// that r matches.
func (r Rule) hiddenBy(earlier []Rule) ([]string, bool) {
	methods := r.Methods
	if len(methods) == 0 {
		// Only a rule for all methods hides another one.
		methods = []string{""}
	}
	var hiding []string
	for _, method := range methods {
		i := slices.IndexFunc(earlier, func(e Rule) bool {
			allMethods := len(e.Methods) == 0 || slices.Contains(e.Methods, method)
			return e.Service == r.Service && allMethods && pathCovers(e.Path, r.Path)
		})
		if i < 0 {
			return nil, false
		}
		if field := fmt.Sprintf("/rules/%d", i); !slices.Contains(hiding, field) {
			hiding = append(hiding, field)
		}
	}
	return hiding, true
}

// pathCovers reports whether every path that the narrow pattern matches is matched by
// the wide one. For two patterns with special characters it may miss that.
func pathCovers(wide, narrow string) bool {
	if wide == "" || wide == subtreeSuffix || wide == narrow {
		return true
	}
	if parent, isSubtree := strings.CutSuffix(wide, subtreeSuffix); isSubtree {
		return underPrefix(literalStart(narrow), parent)
	}
	if narrow == "" || strings.HasSuffix(narrow, subtreeSuffix) || strings.ContainsAny(narrow, patternCharacters) {
		return false
	}
	matched, err := path.Match(wide, narrow)
	return err == nil && matched
}

// literalStart returns the folders at the start of a pattern that are the same in all
// paths that it matches; for a pattern without special characters, the whole pattern.
func literalStart(pattern string) string {
	if parent, isSubtree := strings.CutSuffix(pattern, subtreeSuffix); isSubtree {
		return parent
	}
	special := strings.IndexAny(pattern, patternCharacters)
	if special < 0 {
		return pattern
	}
	return pattern[:strings.LastIndexByte(pattern[:special], '/')+1]
}
