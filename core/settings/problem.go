package settings

import (
	"fmt"
	"strings"
)

// Problem is one fault in a setting.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Found   string `json:"found"`
	Allowed string `json:"allowed"`
}

func (p Problem) String() string {
	place := p.File
	if p.Line > 0 {
		place = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field != "" {
		place += ": " + p.Field
	}
	return fmt.Sprintf("%s: found %s, allowed: %s", place, p.Found, p.Allowed)
}

// Problems is every fault found in a set of settings.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, one := range p {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}
