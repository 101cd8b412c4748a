package operator

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
)

// specDiff lists the fields that differ between two specs, a line each; none
// if they mean the same.
func specDiff(before, after json.RawMessage) []string {
	var a, b map[string]any
	_ = json.Unmarshal(before, &a) // an absent spec counts as empty
	_ = json.Unmarshal(after, &b)  // the document was checked
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
	var out []string
	for _, k := range names {
		if reflect.DeepEqual(a[k], b[k]) {
			continue
		}
		if v, ok := a[k]; ok {
			out = append(out, fmt.Sprintf("  - %s = %s", k, compact(v)))
		}
		if v, ok := b[k]; ok {
			out = append(out, fmt.Sprintf("  + %s = %s", k, compact(v)))
		}
	}
	return out
}

func compact(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
