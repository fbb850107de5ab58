// Package goosecheck reports what operators should know about a configuration before they send
// it: values that cannot work, entries that can never match, limits that contradict each other,
// and the differences from the version in force.
package goosecheck

import "fmt"

// Severity is how serious a finding is.
type Severity string

// Severities of findings.
const (
	// SeverityError means that requests would fail, or reach something else than intended.
	SeverityError Severity = "error"
	// SeverityWarning means that a part of the configuration has no effect.
	SeverityWarning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Setting is the path of the setting, such as routes[0].prefix.
	Setting string `json:"setting,omitempty"`
	Message string `json:"message"`
}

// String returns "severity: setting: message".
func (f Finding) String() string {
	if f.Setting == "" {
		return string(f.Severity) + ": " + f.Message
	}
	return string(f.Severity) + ": " + f.Setting + ": " + f.Message
}

// findings collects findings in the order of the configuration.
type findings []Finding

func (f *findings) errorf(setting, format string, args ...any) {
	*f = append(*f, Finding{Severity: SeverityError, Setting: setting, Message: fmt.Sprintf(format, args...)})
}

func (f *findings) warnf(setting, format string, args ...any) {
	*f = append(*f, Finding{Severity: SeverityWarning, Setting: setting, Message: fmt.Sprintf(format, args...)})
}

// names reports the names that a list has twice.
type names map[string]int

// check adds an error if the name is empty or another element has it.
func (n names) check(f *findings, list string, i int, name string) {
	at := fmt.Sprintf("%s[%d].name", list, i)
	if name == "" {
		f.errorf(at, "must be given")
		return
	}
	if other, ok := n[name]; ok {
		f.errorf(at, "%q is already the name of %s[%d]", name, list, other)
		return
	}
	n[name] = i
}
