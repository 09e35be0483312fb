package cmd

import (
	"fmt"

	"rattantrack.dev/core/settings"
)

type checkCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of the declarations."`
}

// counts is the output of check for valid declarations.
type counts struct {
	Profiles  int `json:"profiles"`
	Services  int `json:"services"`
	Upstreams int `json:"upstreams"`
	Teams     int `json:"teams"`
}

// Run checks the declarations.
func (c *checkCmd) Run(o *output) error {
	declarations, err := settings.LoadDeclarations(c.Dir)
	if err != nil {
		return err
	}
	n := counts{Profiles: len(declarations.Profiles), Services: len(declarations.Services), Upstreams: len(declarations.Upstreams), Teams: len(declarations.Teams)}
	text := fmt.Sprintf("%s is valid: %d profiles, %d services, %d upstreams, %d teams\n",
		c.Dir, n.Profiles, n.Services, n.Upstreams, n.Teams)
	return o.print(n, text)
}
