package operator

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
)

// specDiff compares the top-level fields of two specs. For each field that differs it
// returns a line with the removed value and one with the added value, where present.
// It returns nil if the specs are equal.
func specDiff(before, after json.RawMessage) []string {
	var a, b map[string]any
	_ = json.Unmarshal(before, &a) // an absent spec is treated as empty
	_ = json.Unmarshal(after, &b)  // the spec was validated with its document
	fields := map[string]bool{}
	for k := range a {
		fields[k] = true
	}
	for k := range b {
		fields[k] = true
	}
	names := make([]string, 0, len(fields))
	for k := range fields {
		names = append(names, k)
	}
	sort.Strings(names)
	var lines []string
	for _, k := range names {
		if reflect.DeepEqual(a[k], b[k]) {
			continue
		}
		if v, ok := a[k]; ok {
			lines = append(lines, fmt.Sprintf("  - %s = %s", k, compactJSON(v)))
		}
		if v, ok := b[k]; ok {
			lines = append(lines, fmt.Sprintf("  + %s = %s", k, compactJSON(v)))
		}
	}
	return lines
}

func compactJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
