package settings

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
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
	kindRoutes    = "routes"
	kindLimits    = "limits"
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

// Documents splits a set of declarations into its documents, sorted by key, in YAML for people to read.
func (f *Declarations) Documents() ([]Document, error) { return f.documents(yaml.Marshal) }

// documents splits a set of declarations into its documents, sorted by key.
func (f *Declarations) documents(encode func(any) ([]byte, error)) ([]Document, error) {
	var docs []Document
	var err error
	add := func(kind, name string, value any) {
		text, marshalErr := encode(value)
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
	for name, r := range f.Routes {
		add(kindRoutes, string(name), r)
	}
	for name, l := range f.Limits {
		add(kindLimits, string(name), l)
	}
	sort.Slice(docs, func(i, j int) bool { return docs[i].Key < docs[j].Key })
	return docs, err
}

// FromDocuments assembles, defaults and validates a set of declarations.
func FromDocuments(docs []Document) (*Declarations, error) {
	return newFleet().With(docs)
}

// With returns the declarations after a change, and validates what the change can have touched. The declarations that
// did not change are taken over as they are, so that the work grows with the change and hardly with the fleet.
func (f *Declarations) With(docs []Document) (*Declarations, error) {
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

func (f *Declarations) clone() *Declarations {
	next := newFleet()
	maps.Copy(next.Profiles, f.Profiles)
	maps.Copy(next.Services, f.Services)
	maps.Copy(next.Upstreams, f.Upstreams)
	maps.Copy(next.Teams, f.Teams)
	maps.Copy(next.Routes, f.Routes)
	maps.Copy(next.Limits, f.Limits)
	return next
}

func newFleet() *Declarations {
	return &Declarations{
		Profiles:  make(map[ProfileName]Profile),
		Services:  make(map[ServiceName]Service),
		Upstreams: make(map[UpstreamID]Upstream),
		Teams:     make(map[TeamID]Team),
		Routes:    make(map[RouteName]Route),
		Limits:    make(map[LimitsName]ClientLimits),
	}
}

// apply adds, replaces or removes one declaration.
func (f *Declarations) apply(d Document) error {
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
	case kindRoutes:
		return applyTo(f.Routes, RouteName(name), d, defaultRoute)
	case kindLimits:
		return applyTo(f.Limits, LimitsName(name), d, defaultClientLimits)
	}
	return errors.Newf("unknown kind of declaration %q", kind)
}

func applyTo[K comparable, V any](m map[K]V, key K, d Document, withDefaults func(V) V) error {
	if d.Deleted {
		delete(m, key)
		return nil
	}
	var v V
	if err := decodeDocument(d.Value, &v); err != nil {
		return err
	}
	m[key] = withDefaults(v)
	return nil
}

// jsonStart tells JSON from the YAML that people write.
const jsonStart = `{"`

// decodeDocument decodes one declaration in JSON or YAML and refuses unknown fields.
func decodeDocument(text string, v any) error {
	if !strings.HasPrefix(text, jsonStart) {
		return decodeStrict([]byte(text), v)
	}
	dec := json.NewDecoder(strings.NewReader(text))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// decodeStrict decodes YAML and refuses unknown fields.
func decodeStrict(text []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	return dec.Decode(v)
}

// Changes returns the documents that lead from one set of declarations to the next, stamped with the revision. They are
// in JSON, which is read many times faster than YAML when a router starts.
func Changes(from, to *Declarations, r Revision) ([]Document, error) {
	if from == nil {
		from = newFleet()
	}
	changed, removed := diff(from, to)
	docs, err := changed.documents(json.Marshal)
	if err != nil {
		return nil, errors.Wrap(err, "encoding declarations")
	}
	for _, key := range removed {
		docs = append(docs, Document{Key: key, Deleted: true})
	}
	for i := range docs {
		docs[i].Revision = r
	}
	return docs, nil
}

// diff returns the declarations that are new or different in to, and the keys of those that it lacks.
func diff(from, to *Declarations) (*Declarations, []DocumentKey) {
	changed := newFleet()
	var removed []DocumentKey
	removed = diffKind(removed, kindProfiles, from.Profiles, to.Profiles, changed.Profiles)
	removed = diffKind(removed, kindServices, from.Services, to.Services, changed.Services)
	removed = diffKind(removed, kindUpstreams, from.Upstreams, to.Upstreams, changed.Upstreams)
	removed = diffKind(removed, kindTeams, from.Teams, to.Teams, changed.Teams)
	removed = diffKind(removed, kindRoutes, from.Routes, to.Routes, changed.Routes)
	removed = diffKind(removed, kindLimits, from.Limits, to.Limits, changed.Limits)
	return changed, removed
}

func diffKind[K ~string, V any](removed []DocumentKey, kind string, from, to, changed map[K]V) []DocumentKey {
	for name, v := range to {
		if have, ok := from[name]; !ok || !reflect.DeepEqual(have, v) {
			changed[name] = v
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			removed = append(removed, DocumentKey(kind+"/"+string(name)))
		}
	}
	return removed
}
