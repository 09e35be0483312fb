package cmd

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/settings"
)

type explainCmd struct {
	Dir     string `arg:"" type:"existingdir" help:"Directory of the declarations."`
	Profile string `arg:"" help:"Name of the profile."`
}

// explanation is the output of explain, one sentence per entry.
type explanation struct {
	Profile   settings.ProfileName `json:"profile"`
	Sentences []string             `json:"sentences"`
}

// Run explains a profile.
func (c *explainCmd) Run(o *output) error {
	declarations, err := settings.LoadDeclarations(c.Dir)
	if err != nil {
		return err
	}
	name := settings.ProfileName(c.Profile)
	profile, ok := declarations.Profiles[name]
	if !ok {
		return errors.Newf("no profile is named %q", c.Profile)
	}
	result := explanation{Profile: name, Sentences: sentences(declarations, name, profile)}
	return o.print(result, strings.Join(result.Sentences, "\n")+"\n")
}

// sentences returns the explanation of a profile.
func sentences(declarations *settings.Declarations, name settings.ProfileName, profile settings.Profile) []string {
	service := declarations.Services[profile.Service]
	upstreams := len(declarations.UpstreamsOf(profile.Service))
	list := []string{
		fmt.Sprintf("%s: %s", name, profile.Description),
		fmt.Sprintf("It goes to %s, which has %d upstreams.", profile.Service, upstreams),
		fmt.Sprintf("It waits in the priority class %s, and its answer must be complete within %s; a request that cannot meet this deadline is refused at once, with the time after which to retry.", profile.Priority, profile.Deadline),
	}
	if service.Kind == settings.KindModel {
		list = append(list,
			fmt.Sprintf("A returning chat goes to the engine that caches its prompt, while that engine has less than %.2f times the mean load; otherwise a less loaded engine takes it.", service.Multiple),
			fmt.Sprintf("An answer is expected to have %.0f tokens until answers of this profile have been measured.", float64(profile.ExpectedTokens)))
	}
	return append(list, retrySentence(profile, service))
}

// retrySentence explains how often a request may run.
func retrySentence(profile settings.Profile, service settings.Service) string {
	if profile.Idempotent {
		return fmt.Sprintf("It may be repeated: after a failure up to %d more attempts are made, within the deadline and the router's retry budget.", profile.Retries)
	}
	return fmt.Sprintf("It runs at most once: with a ticket, or with an Idempotency-Key, it can be sent again for %s and gives the recorded answer; without either it is handed over once and never again.", service.KeyLifetime)
}
