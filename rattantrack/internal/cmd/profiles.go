package cmd

import (
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"rattantrack.dev/core/settings"
)

type profilesCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of the declarations."`
}

// Run lists the profiles.
func (c *profilesCmd) Run(o *output) error {
	declarations, err := settings.LoadDeclarations(c.Dir)
	if err != nil {
		return err
	}
	var names []string
	for name := range declarations.Profiles {
		names = append(names, string(name))
	}
	sort.Strings(names)
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROFILE\tSERVICE\tPRIORITY\tDEADLINE\tREPEATABLE\tWHAT FOR")
	for _, name := range names {
		profile := declarations.Profiles[settings.ProfileName(name)]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", name, profile.Service, profile.Priority, profile.Deadline, yesNo(profile.Idempotent), profile.Description)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return o.print(declarations.Profiles, b.String())
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
