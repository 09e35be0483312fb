package cmd

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCmd struct{}

// Run prints a completion script of the commands and their flags.
func (c *completionCmd) Run(k *kong.Kong, o *output) error {
	var names []string
	for _, n := range k.Model.Children {
		names = append(names, n.Name)
	}
	_, err := fmt.Fprintf(o.out, `_rattantrack() {
  if [ "$COMP_CWORD" -eq 1 ]; then
    COMPREPLY=($(compgen -W "%s" -- "${COMP_WORDS[1]}"))
  else
    COMPREPLY=($(compgen -W "--json --help" -f -- "${COMP_WORDS[COMP_CWORD]}"))
  fi
}
complete -F _rattantrack rattantrack
`, strings.Join(names, " "))
	return err
}
