package goose

import "regexp"

// namePattern matches valid names. Names appear in store keys, URL paths, file names and
// certificates.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

// NameRule describes which names ValidName accepts.
const NameRule = "at most 63 lower-case letters, digits, dots, hyphens and underscores, with a letter or digit at both ends"

// ValidName reports whether s may name an instance, data centre, service,
// workspace, backend server, selector or fleet.
func ValidName(s string) bool { return namePattern.MatchString(s) }
