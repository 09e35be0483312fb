package settings

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

var declarationFiles = []string{kindProfiles, kindServices, kindUpstreams, kindTeams, kindRoutes, kindLimits}

// optionalFiles are the files that may be missing, because only some fleets have such declarations.
var optionalFiles = []string{kindRoutes, kindLimits}

// LoadDeclarations reads the declaration files in dir. It returns all faults together as Problems.
func LoadDeclarations(dir string) (*Declarations, error) {
	d := newDeclarations()
	var problems Problems
	lines := make(map[string]int)
	for _, kind := range declarationFiles {
		found, err := d.loadFile(dir, kind, lines)
		if err != nil {
			return nil, err
		}
		problems = append(problems, found...)
	}
	d.SetDefaults()
	for _, p := range d.Validate() {
		p.File = filepath.Join(dir, p.File)
		p.Line = nearestLine(lines, p.Field)
		problems = append(problems, p)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return d, nil
}

func (d *Declarations) loadFile(dir, kind string, lines map[string]int) (Problems, error) {
	path := filepath.Join(dir, kind+".yaml")
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		if slices.Contains(optionalFiles, kind) {
			return nil, nil
		}
		return Problems{{File: path, Found: "no such file", Allowed: "a file of " + kind}}, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", path)
	}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		return decodeProblems(path, err), nil
	}
	indexLines(&root, kind, lines)
	return decodeProblems(path, decodeStrict(text, d.section(kind))), nil
}

func (d *Declarations) section(kind string) any {
	switch kind {
	case kindProfiles:
		return &d.Profiles
	case kindServices:
		return &d.Services
	case kindUpstreams:
		return &d.Upstreams
	case kindRoutes:
		return &d.Routes
	case kindLimits:
		return &d.Limits
	}
	return &d.Teams
}

// indexLines records the line of every field below a mapping node, by dotted path.
func indexLines(n *yaml.Node, path string, lines map[string]int) {
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		indexLines(n.Content[0], path, lines)
		return
	}
	if n.Kind != yaml.MappingNode {
		return
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		child := path + "." + n.Content[i].Value
		lines[child] = n.Content[i].Line
		indexLines(n.Content[i+1], child, lines)
	}
}

// nearestLine returns the line of a field, or of the closest enclosing field if the field was left out.
func nearestLine(lines map[string]int, field string) int {
	for field != "" {
		if line, ok := lines[field]; ok {
			return line
		}
		cut := strings.LastIndexByte(field, '.')
		if cut < 0 {
			return 0
		}
		field = field[:cut]
	}
	return 0
}

var (
	linePattern    = regexp.MustCompile(`line (\d+): (.*)`)
	unknownPattern = regexp.MustCompile(`field (\S+) not found in type`)
)

// decodeProblems converts a decoder error into one problem per fault.
func decodeProblems(path string, err error) Problems {
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return Problems{decodeProblem(path, err.Error())}
	}
	problems := make(Problems, 0, len(typeError.Errors))
	for _, text := range typeError.Errors {
		problems = append(problems, decodeProblem(path, text))
	}
	return problems
}

func decodeProblem(path, text string) Problem {
	p := Problem{File: path, Found: text, Allowed: "valid YAML with the documented fields"}
	if m := linePattern.FindStringSubmatch(text); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Found = m[2]
	}
	if m := unknownPattern.FindStringSubmatch(text); m != nil {
		p.Field = m[1]
		p.Found = "unknown field"
		p.Allowed = "a documented field"
	}
	return p
}

// LoadProcess reads the settings file of one process into v and rejects unknown fields.
func LoadProcess(path string, v any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "reading %s", path)
	}
	if problems := decodeProblems(path, decodeStrict(text, v)); len(problems) > 0 {
		return problems
	}
	return nil
}
