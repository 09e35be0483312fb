package members

import "strconv"

// Era counts how often the directory has been restored from an older copy. Within an era its revisions only rise; the next era
// gives revisions out again.
type Era uint64

// Revision is the point in the directory's history at which an instance's entry was written: the era in the upper bits, and the
// directory's own number in the lower ones, so that revisions are ordered as numbers. It is unrelated to the revision of the
// declarations.
type Revision uint64

// Sizes of the parts of a Revision: a thousand writes a second for 30 years, and 16 million eras.
const (
	numberBits = 40
	maxNumber  = 1<<numberBits - 1
	maxEra     = 1<<(64-numberBits) - 1
)

// firstEra is the era of a directory that has never been restored. It is left out of the upper bits, so that revisions of this
// era are those of programs that know no eras.
const firstEra = 1

// NewRevision returns the revision for a number of the directory.
func NewRevision(era Era, number uint64) Revision {
	upper := min(max(era, firstEra)-firstEra, maxEra)
	return Revision(upper)<<numberBits | Revision(min(number, maxNumber))
}

// Era returns the era; an era of zero counts as the first one.
func (r Revision) Era() Era { return Era(r>>numberBits) + firstEra }

// Number returns the directory's own number.
func (r Revision) Number() uint64 { return uint64(r & maxNumber) }

// String returns the number, after the era and a slash if that is not the first one.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Era() == firstEra {
		return number
	}
	return strconv.FormatUint(uint64(r.Era()), 10) + "/" + number
}
