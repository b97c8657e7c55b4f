package store

// An object store that is restored from an older copy gives out the revisions after
// that of the copy again. A client of such a store forms versions from the store's
// era, which is the number of restores before, and the revision, so that versions
// still increase and are never reused.
const (
	revisionBits = 40
	// MaxRevision is the highest revision that a version can contain.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the highest era that a version can contain.
	MaxEra = 1<<(63-revisionBits) - 1
)

// VersionIn returns the version of a revision in an era. A revision of 0 stands for
// an object that does not exist in that era.
func VersionIn(era, revision int64) int64 { return era<<revisionBits | revision }

// Era returns the era of a version. It is 0 for versions of a store that was never
// restored.
func Era(version int64) int64 { return version >> revisionBits }

// Revision returns the revision that a version contains.
func Revision(version int64) int64 { return version & MaxRevision }
