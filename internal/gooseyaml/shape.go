package gooseyaml

import (
	"bytes"
	"fmt"
)

// Bounds of a file's shape. The library's parser recurses once for each level
// of nesting, so that a long run of brackets or list marks exhausts the stack,
// and takes time quadratic in the names of one mapping: 0.7 s for 16,000.
const (
	maxBrackets = 64
	maxIndent   = 256
	maxNames    = 4096
)

// unreasonable returns the first line whose shape the parser cannot take, and
// what is wrong there, or zero. It does not know about quotes and block texts,
// which only makes it refuse more.
func unreasonable(data []byte) (int, string) {
	var s shape
	line := 0
	for text := range bytes.Lines(data) {
		line++
		if message := s.add(text); message != "" {
			return line, message
		}
	}
	return 0, ""
}

// shape follows the nesting of a file line by line.
type shape struct {
	brackets int
	// names counts, by indent, the lines of the innermost mappings.
	names [maxIndent + 1]int
	last  int
}

func (s *shape) add(line []byte) string {
	for _, c := range line {
		switch c {
		case '[', '{':
			s.brackets++
		case ']', '}':
			s.brackets = max(0, s.brackets-1)
		}
		if s.brackets > maxBrackets {
			return fmt.Sprintf("more than %d levels of brackets", maxBrackets)
		}
	}
	indent, item := s.indent(line)
	empty := indent == len(line) || line[indent] == '\n' || line[indent] == '#'
	if empty && !item {
		return ""
	}
	if indent > maxIndent {
		return fmt.Sprintf("indented by more than %d characters", maxIndent)
	}
	// Deeper mappings end here, and so does this one if a list item begins.
	for ; s.last > indent; s.last-- {
		s.names[s.last] = 0
	}
	s.last = indent
	if item {
		s.names[indent] = 0
	}
	if s.names[indent]++; s.names[indent] > maxNames {
		return fmt.Sprintf("more than %d lines in one mapping or text", maxNames)
	}
	return ""
}

// indent returns where the content of a line begins, behind the marks of list
// items and mapping names, and whether there is such a mark.
func (s *shape) indent(line []byte) (int, bool) {
	item := false
	for i, c := range line {
		switch c {
		case ' ', '\t':
		case '-', '?':
			if i+1 < len(line) && line[i+1] != ' ' && line[i+1] != '\n' {
				return i, item
			}
			item = true
		default:
			return i, item
		}
	}
	return len(line), item
}
