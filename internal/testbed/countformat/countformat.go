// Package countformat formats counts by name, such as those of outcomes, for the reports of the testbed.
package countformat

import (
	"fmt"
	"sort"
	"strings"
)

// Format returns the counts as text ordered by name, such as "a 1, b 2". Without counts it returns "none".
func Format(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	entries := make([]string, 0, len(counts))
	for name, count := range counts {
		entries = append(entries, fmt.Sprintf("%s %d", name, count))
	}
	sort.Strings(entries)
	return strings.Join(entries, ", ")
}
