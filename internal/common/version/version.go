// Package version tells the version of the running binary.
package version

import "runtime/debug"

// Unknown is the version of a binary that was built without one.
const Unknown = "unknown"

// String returns the version that the build recorded, which contains the revision of the repository,
// or Unknown.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return Unknown
	}
	return info.Main.Version
}
