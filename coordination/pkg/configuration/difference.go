package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// Difference is one field that differs between two configurations. An empty
// Before or After means that the field is absent on that side.
type Difference struct {
	// Field is the path of the field. List items with a name appear in it by their
	// name, not their index. A list also has the pseudo-field <path>/order, which
	// holds its item names in order. An empty list or object counts as absent.
	Field  string
	Before string
	After  string
}

func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("+ %s = %s", d.Field, d.After)
	case d.After == "":
		return fmt.Sprintf("- %s = %s", d.Field, d.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", d.Field, d.Before, d.After)
	}
}

// Differences returns the fields that differ between before and after, sorted by
// field.
func Differences(before, after Configuration) ([]Difference, error) {
	beforeFields, err := flatten(before)
	if err != nil {
		return nil, err
	}
	afterFields, err := flatten(after)
	if err != nil {
		return nil, err
	}
	fields := slices.Collect(maps.Keys(beforeFields))
	for field := range afterFields {
		if _, inBoth := beforeFields[field]; !inBoth {
			fields = append(fields, field)
		}
	}
	slices.Sort(fields)
	var differences []Difference
	for _, field := range fields {
		if beforeFields[field] != afterFields[field] {
			differences = append(differences, Difference{Field: field, Before: beforeFields[field], After: afterFields[field]})
		}
	}
	return differences, nil
}

// flatten returns the JSON text of each field by path.
func flatten(c Configuration) (map[string]string, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	var tree any
	if err := json.Unmarshal(data, &tree); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	flat := map[string]string{}
	flattenInto(flat, "", tree)
	return flat, nil
}

func flattenInto(flat map[string]string, field string, node any) {
	switch n := node.(type) {
	case map[string]any:
		for name, child := range n {
			flattenInto(flat, field+"/"+name, child)
		}
	case []any:
		for i, child := range n {
			flattenInto(flat, field+"/"+itemName(i, child), child)
		}
		// The order of a list matters: it sets the rank of tiers and which rule
		// matches first.
		if len(n) > 0 {
			flat[field+"/order"] = orderOf(n)
		}
	default:
		text, err := json.Marshal(n)
		if err != nil {
			// Values decoded from JSON can always be encoded again.
			panic(err)
		}
		flat[field] = string(text)
	}
}

func itemName(i int, item any) string {
	if fields, isObject := item.(map[string]any); isObject {
		if name, named := fields["name"].(string); named {
			return name
		}
	}
	return fmt.Sprint(i)
}

func orderOf(items []any) string {
	names := make([]string, len(items))
	for i, item := range items {
		names[i] = itemName(i, item)
	}
	return fmt.Sprint(names)
}
