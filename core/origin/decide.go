package origin

import "rattantrack.dev/core/members"

// Knowledge is what a router knows of a stream that is to go on, with the replies of those that it has asked.
type Knowledge struct {
	// Found is the remembered origin, nil if no router remembers it.
	Found *Origin
	// Versions are those that have served the service lately, by all replies and this router itself; a version may occur twice.
	Versions []Seen
	// Complete reports that Versions has all that may have begun the stream.
	Complete bool
	// Fresh reports that this router is not cut off: others have replied, or it has news from the directory, or there are no others.
	Fresh bool
}

// Verdict is where a stream may go on.
type Verdict string

// The verdicts of Decide.
const (
	// Remembered means that a router remembers the origin.
	Remembered Verdict = "remembered"
	// OnlyVersion means that no other version can have begun the stream.
	OnlyVersion Verdict = "only_version"
	// Unknown means that the stream may have begun at another version than any that it could go on at.
	Unknown Verdict = "unknown"
)

// Decide returns the version at which a stream may go on. It answers the load of clients that return to any router while several
// versions serve, also after their router and those that held its records are lost. A wrong version spoils the stream unnoticed,
// while a refused client can return or begin anew, so nothing is guessed.
func Decide(k *Knowledge) (members.Version, Verdict) {
	if k.Found != nil {
		return k.Found.Version, Remembered
	}
	if !k.Complete || !k.Fresh || len(k.Versions) == 0 {
		return "", Unknown
	}
	for _, s := range k.Versions {
		if s.Version != k.Versions[0].Version {
			return "", Unknown
		}
	}
	return k.Versions[0].Version, OnlyVersion
}
