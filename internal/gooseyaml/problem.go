// Package gooseyaml decodes YAML files strictly and reports every problem with
// its file, line and setting.
package gooseyaml

import (
	"fmt"
	"strings"
)

// Problem is one error in a file or value.
type Problem struct {
	// File is empty for values that were not read from a file.
	File string `json:"file,omitempty"`
	// Line counts from one; zero means that the line is unknown.
	Line int `json:"line,omitempty"`
	// Setting is the path of the setting, such as services[0].name.
	Setting string `json:"setting,omitempty"`
	Message string `json:"message"`
}

// String returns "file:line: setting: message" without the parts that are unknown.
func (p Problem) String() string {
	var b strings.Builder
	switch {
	case p.File != "" && p.Line > 0:
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	case p.File != "":
		fmt.Fprintf(&b, "%s: ", p.File)
	}
	if p.Setting != "" {
		fmt.Fprintf(&b, "%s: ", p.Setting)
	}
	b.WriteString(p.Message)
	return b.String()
}

// InvalidError lists all problems of a file or value.
type InvalidError struct {
	Problems []Problem `json:"problems"`
}

// Error returns one line per problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
