package cmd

import (
	"fmt"
	"strings"

	"rattantrack.dev/core/settings"
)

type diffCmd struct {
	Old string `arg:"" type:"existingdir" help:"Directory of the old declarations."`
	New string `arg:"" type:"existingdir" help:"Directory of the new declarations."`
}

// change is one declaration that was added, changed or removed.
type change struct {
	Key  settings.DocumentKey `json:"key"`
	Kind string               `json:"kind"`
	Old  string               `json:"old,omitempty"`
	New  string               `json:"new,omitempty"`
}

// Run shows the differences.
func (c *diffCmd) Run(o *output) error {
	before, err := documents(c.Old)
	if err != nil {
		return err
	}
	after, err := documents(c.New)
	if err != nil {
		return err
	}
	changes := compare(before, after)
	var b strings.Builder
	for _, ch := range changes {
		fmt.Fprintf(&b, "%-8s %s\n", ch.Kind, ch.Key)
		writeLines(&b, "-", ch.Old, ch.New)
		writeLines(&b, "+", ch.New, ch.Old)
	}
	if len(changes) == 0 {
		b.WriteString("no difference\n")
	}
	return o.print(changes, b.String())
}

// documents returns the declarations in a directory as documents.
func documents(dir string) ([]settings.Document, error) {
	declarations, err := settings.LoadDeclarations(dir)
	if err != nil {
		return nil, err
	}
	return declarations.Documents()
}

// compare returns the changes from one list of documents to another.
func compare(before, after []settings.Document) []change {
	old := make(map[settings.DocumentKey]string, len(before))
	for _, d := range before {
		old[d.Key] = d.Value
	}
	changes := []change{}
	for _, d := range after {
		oldText, existed := old[d.Key]
		delete(old, d.Key)
		switch {
		case !existed:
			changes = append(changes, change{Key: d.Key, Kind: "added", New: d.Value})
		case oldText != d.Value:
			changes = append(changes, change{Key: d.Key, Kind: "changed", Old: oldText, New: d.Value})
		}
	}
	for _, d := range before {
		if text, removed := old[d.Key]; removed {
			changes = append(changes, change{Key: d.Key, Kind: "removed", Old: text})
		}
	}
	return changes
}

// writeLines writes the lines of text that other does not contain.
func writeLines(b *strings.Builder, mark, text, other string) {
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if line != "" && !strings.Contains(other, line+"\n") {
			fmt.Fprintf(b, "  %s %s\n", mark, line)
		}
	}
}
