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
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Field != "" {
		location += ": " + p.Field
	}
	return fmt.Sprintf("%s: found %s, allowed: %s", location, p.Found, p.Allowed)
}

// Problems is the list of all faults in a set of settings.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
