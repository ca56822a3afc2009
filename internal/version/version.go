// Package version reports the version of the running program.
package version

import "runtime/debug"

// String returns the module version or, for development builds, the VCS
// revision. It returns "devel" if neither is known and "unknown" if the binary
// has no build information.
func String() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	if v := info.Main.Version; v != "" && v != "(devel)" {
		return v
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "devel"
}
