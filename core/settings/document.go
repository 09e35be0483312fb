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

// Revision numbers the versions of the declarations as counted by the configuration service.
type Revision uint64

// DocumentKey identifies a declaration as kind/name, such as profiles/answer.
type DocumentKey string

// Document is one declaration as the configuration service publishes it.
type Document struct {
	Key      DocumentKey `json:"key"`
	Value    string      `json:"value"`
	Revision Revision    `json:"revision"`
	Deleted  bool        `json:"deleted"`
}

// The kinds of declaration, which are also the base names of their files.
const (
	kindProfiles  = "profiles"
	kindServices  = "services"
	kindUpstreams = "upstreams"
	kindTeams     = "teams"
	kindRoutes    = "routes"
	kindLimits    = "limits"
)

// UpstreamOf returns the upstream that a document declares, and whether it declares one.
func UpstreamOf(key DocumentKey) (UpstreamID, bool) {
	name, ok := strings.CutPrefix(string(key), kindUpstreams+"/")
	return UpstreamID(name), ok
}

// IsUpstream reports whether a document declares an upstream.
func IsUpstream(key DocumentKey) bool { return strings.HasPrefix(string(key), kindUpstreams+"/") }

// IsService reports whether a document declares a service.
func IsService(key DocumentKey) bool { return strings.HasPrefix(string(key), kindServices+"/") }

// Documents returns the declarations as YAML documents for people to read, sorted by key.
func (d *Declarations) Documents() ([]Document, error) { return d.documents(yaml.Marshal) }

// documents returns the declarations as encoded documents, sorted by key.
func (d *Declarations) documents(encode func(any) ([]byte, error)) ([]Document, error) {
	var docs []Document
	var err error
	add := func(kind, name string, value any) {
		text, marshalErr := encode(value)
		err = errors.CombineErrors(err, marshalErr)
		docs = append(docs, Document{Key: DocumentKey(kind + "/" + name), Value: string(text)})
	}
	for name, p := range d.Profiles {
		add(kindProfiles, string(name), p)
	}
	for name, s := range d.Services {
		add(kindServices, string(name), s)
	}
	for id, u := range d.Upstreams {
		add(kindUpstreams, string(id), u)
	}
	for id, t := range d.Teams {
		add(kindTeams, string(id), t)
	}
	for name, r := range d.Routes {
		add(kindRoutes, string(name), r)
	}
	for name, l := range d.Limits {
		add(kindLimits, string(name), l)
	}
	sort.Slice(docs, func(i, j int) bool { return docs[i].Key < docs[j].Key })
	return docs, err
}

// FromDocuments decodes a set of declarations, applies the defaults and validates the result.
func FromDocuments(docs []Document) (*Declarations, error) {
	return newDeclarations().With(docs)
}

// With returns the declarations after a change and validates what the change can affect. Unchanged declarations are
// only copied, so that the work depends mostly on the size of the change.
func (d *Declarations) With(docs []Document) (*Declarations, error) {
	next := d.clone()
	var problems Problems
	for _, doc := range docs {
		if err := next.apply(doc); err != nil {
			problems = append(problems, Problem{File: string(doc.Key), Found: err.Error(), Allowed: "a valid declaration"})
		}
	}
	problems = append(problems, next.validateChange(docs)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return next, nil
}

func (d *Declarations) clone() *Declarations {
	next := newDeclarations()
	maps.Copy(next.Profiles, d.Profiles)
	maps.Copy(next.Services, d.Services)
	maps.Copy(next.Upstreams, d.Upstreams)
	maps.Copy(next.Teams, d.Teams)
	maps.Copy(next.Routes, d.Routes)
	maps.Copy(next.Limits, d.Limits)
	return next
}

func newDeclarations() *Declarations {
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
func (d *Declarations) apply(doc Document) error {
	kind, name, ok := strings.Cut(string(doc.Key), "/")
	if !ok || name == "" {
		return errors.Newf("key %q is not kind/name", string(doc.Key))
	}
	switch kind {
	case kindProfiles:
		return applyTo(d.Profiles, ProfileName(name), doc, defaultProfile)
	case kindServices:
		return applyTo(d.Services, ServiceName(name), doc, defaultService)
	case kindUpstreams:
		return applyTo(d.Upstreams, UpstreamID(name), doc, func(u Upstream) Upstream { return u })
	case kindTeams:
		return applyTo(d.Teams, TeamID(name), doc, defaultTeam)
	case kindRoutes:
		return applyTo(d.Routes, RouteName(name), doc, defaultRoute)
	case kindLimits:
		return applyTo(d.Limits, LimitsName(name), doc, defaultClientLimits)
	}
	return errors.Newf("unknown kind of declaration %q", kind)
}

func applyTo[K comparable, V any](m map[K]V, key K, doc Document, withDefaults func(V) V) error {
	if doc.Deleted {
		delete(m, key)
		return nil
	}
	var v V
	if err := decodeDocument(doc.Value, &v); err != nil {
		return err
	}
	m[key] = withDefaults(v)
	return nil
}

// jsonStart distinguishes generated JSON from the YAML that people write.
const jsonStart = `{"`

// decodeDocument decodes one declaration in JSON or YAML and rejects unknown fields.
func decodeDocument(text string, v any) error {
	if !strings.HasPrefix(text, jsonStart) {
		return decodeStrict([]byte(text), v)
	}
	dec := json.NewDecoder(strings.NewReader(text))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// decodeStrict decodes YAML and rejects unknown fields.
func decodeStrict(text []byte, v any) error {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	return dec.Decode(v)
}

// Changes returns the documents that change one set of declarations into the next, with the given revision. They are JSON,
// which a starting router reads many times faster than YAML.
func Changes(from, to *Declarations, r Revision) ([]Document, error) {
	if from == nil {
		from = newDeclarations()
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

// diff returns the declarations that are new or different in to, and the keys of those that are missing there.
func diff(from, to *Declarations) (*Declarations, []DocumentKey) {
	changed := newDeclarations()
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
		if old, ok := from[name]; !ok || !reflect.DeepEqual(old, v) {
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
