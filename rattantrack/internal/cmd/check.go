package cmd

import (
	"fmt"

	"rattantrack.dev/core/settings"
)

type checkCmd struct {
	Dir string `arg:"" type:"existingdir" help:"Directory of the declarations."`
}

// counts is what check reports of valid declarations.
type counts struct {
	Profiles  int `json:"profiles"`
	Services  int `json:"services"`
	Upstreams int `json:"upstreams"`
	Teams     int `json:"teams"`
}

// Run checks the declarations.
func (c *checkCmd) Run(o *output) error {
	f, err := settings.LoadDeclarations(c.Dir)
	if err != nil {
		return err
	}
	n := counts{Profiles: len(f.Profiles), Services: len(f.Services), Upstreams: len(f.Upstreams), Teams: len(f.Teams)}
	text := fmt.Sprintf("%s is valid: %d profiles, %d services, %d upstreams, %d teams\n",
		c.Dir, n.Profiles, n.Services, n.Upstreams, n.Teams)
	return o.print(n, text)
}
