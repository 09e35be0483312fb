package settings

import (
	"bytes"
	"maps"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// Revision numbers the versions of the declarations, as the configuration service counts them.
type Revision uint64

// DocumentKey names a declaration as kind/name, such as profiles/answer.
type DocumentKey string

// Document is one declaration as the configuration service publishes it.
type Document struct {
	Key      DocumentKey `json:"key"`
	Value    string      `json:"value"`
	Revision Revision    `json:"revision"`
	Deleted  bool        `json:"deleted"`
}

// The kinds of declaration, which are also the names of the files that hold them.
const (
	kindProfiles  = "profiles"
	kindServices  = "services"
	kindUpstreams = "upstreams"
	kindTeams     = "teams"
)

// UpstreamOf returns the upstream that a document declares, if it declares one.
func UpstreamOf(key DocumentKey) (UpstreamID, bool) {
	name, ok := strings.CutPrefix(string(key), kindUpstreams+"/")
	return UpstreamID(name), ok
}

// IsUpstream reports whether a document declares an upstream.
func IsUpstream(key DocumentKey) bool { return strings.HasPrefix(string(key), kindUpstreams+"/") }

// IsService reports whether a document declares a service.
func IsService(key DocumentKey) bool { return strings.HasPrefix(string(key), kindServices+"/") }

// Documents splits a set of declarations into its documents, sorted by key.
func (f *Fleet) Documents() ([]Document, error) {
	var docs []Document
	var err error
	add := func(kind, name string, value any) {
		text, marshalErr := yaml.Marshal(value)
		err = errors.CombineErrors(err, marshalErr)
		docs = append(docs, Document{Key: DocumentKey(kind + "/" + name), Value: string(text)})
	}
	for name, p := range f.Profiles {
		add(kindProfiles, string(name), p)
	}
	for name, s := range f.Services {
		add(kindServices, string(name), s)
	}
	for id, u := range f.Upstreams {
		add(kindUpstreams, string(id), u)
	}
	for id, t := range f.Teams {
		add(kindTeams, string(id), t)
	}
	sort.Slice(docs, func(i, j int) bool { return docs[i].Key < docs[j].Key })
	return docs, err
}

// FromDocuments assembles, defaults and validates a set of declarations.
func FromDocuments(docs []Document) (*Fleet, error) {
	return newFleet().With(docs)
}

// With returns the declarations after a change, and validates what the change can have touched. The declarations that
// did not change are taken over as they are, so that the work grows with the change and hardly with the fleet.
func (f *Fleet) With(docs []Document) (*Fleet, error) {
	next := f.clone()
	var problems Problems
	for _, d := range docs {
		if err := next.apply(d); err != nil {
			problems = append(problems, Problem{File: string(d.Key), Found: err.Error(), Allowed: "a valid declaration"})
		}
	}
	problems = append(problems, next.validateChange(docs)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return next, nil
}

func (f *Fleet) clone() *Fleet {
	next := newFleet()
	maps.Copy(next.Profiles, f.Profiles)
	maps.Copy(next.Services, f.Services)
	maps.Copy(next.Upstreams, f.Upstreams)
	maps.Copy(next.Teams, f.Teams)
	return next
}

func newFleet() *Fleet {
	return &Fleet{
		Profiles:  make(map[ProfileName]Profile),
		Services:  make(map[ServiceName]Service),
		Upstreams: make(map[UpstreamID]Upstream),
		Teams:     make(map[TeamID]Team),
	}
}

// apply adds, replaces or removes one declaration.
func (f *Fleet) apply(d Document) error {
	kind, name, ok := strings.Cut(string(d.Key), "/")
	if !ok || name == "" {
		return errors.Newf("key %q is not kind/name", string(d.Key))
	}
	switch kind {
	case kindProfiles:
		return applyTo(f.Profiles, ProfileName(name), d, defaultProfile)
	case kindServices:
		return applyTo(f.Services, ServiceName(name), d, defaultService)
	case kindUpstreams:
		return applyTo(f.Upstreams, UpstreamID(name), d, func(u Upstream) Upstream { return u })
	case kindTeams:
		return applyTo(f.Teams, TeamID(name), d, defaultTeam)
	}
	return errors.Newf("unknown kind of declaration %q", kind)
}

func applyTo[K comparable, V any](m map[K]V, key K, d Document, withDefaults func(V) V) error {
	if d.Deleted {
		delete(m, key)
		return nil
	}
	var v V
	if err := decodeStrict([]byte(d.Value), &v); err != nil {
		return err
	}
	m[key] = withDefaults(v)
	return nil
}

// decodeStrict decodes YAML and refuses unknown fields.
func decodeStrict(text []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	return dec.Decode(v)
}
