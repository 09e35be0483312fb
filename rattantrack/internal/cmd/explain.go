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

// explanation is what explain says, a sentence an entry.
type explanation struct {
	Profile   settings.ProfileName `json:"profile"`
	Sentences []string             `json:"sentences"`
}

// Run explains a profile.
func (c *explainCmd) Run(o *output) error {
	f, err := settings.LoadDeclarations(c.Dir)
	if err != nil {
		return err
	}
	name := settings.ProfileName(c.Profile)
	p, ok := f.Profiles[name]
	if !ok {
		return errors.Newf("no profile is named %q", c.Profile)
	}
	e := explanation{Profile: name, Sentences: sentences(f, name, p)}
	return o.print(e, strings.Join(e.Sentences, "\n")+"\n")
}

func sentences(f *settings.Declarations, name settings.ProfileName, p settings.Profile) []string {
	s := f.Services[p.Service]
	upstreams := len(f.UpstreamsOf(p.Service))
	list := []string{
		fmt.Sprintf("%s: %s", name, p.Description),
		fmt.Sprintf("It goes to %s, which has %d upstreams.", p.Service, upstreams),
		fmt.Sprintf("It waits in the class %s, and its answer must be whole within %s; a request that cannot make it is refused at once, with when to come back.", p.Priority, p.Deadline),
	}
	if s.Kind == settings.KindModel {
		list = append(list,
			fmt.Sprintf("A returning chat goes to the engine that knows it, while that carries less than %.2f times the mean load; otherwise a lighter engine takes it.", s.Multiple),
			fmt.Sprintf("An answer is expected to have %.0f tokens until the profile's own answers have taught better.", float64(p.ExpectedTokens)))
	}
	return append(list, repeatSentence(p, s))
}

func repeatSentence(p settings.Profile, s settings.Service) string {
	if p.Idempotent {
		return fmt.Sprintf("It may be repeated: after a failure up to %d more attempts are made, within the deadline and the router's retry budget.", p.Retries)
	}
	return fmt.Sprintf("It runs at most once: with a ticket, or with an Idempotency-Key, it can be sent again for %s and gives the recorded answer; without either it is handed over once and never again.", s.KeyLifetime)
}
