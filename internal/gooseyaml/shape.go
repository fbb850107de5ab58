package gooseyaml

import (
	"bytes"
	"fmt"
)

// Bounds of a file's shape. The parser of the YAML library recurses once for each level of
// nesting, so a long run of brackets or list markers exhausts the stack. Its time is
// quadratic in the number of names of one mapping: 0.7 s for 16,000 names.
const (
	maxBracketDepth = 64
	maxIndent       = 256
	maxMappingLines = 4096
)

// shapeProblem returns the first line whose shape the parser cannot handle and a message,
// or zero if there is none. It does not recognise quotes and block scalars,
// which can only make it refuse more files.
func shapeProblem(data []byte) (int, string) {
	var checker shapeChecker
	line := 0
	for text := range bytes.Lines(data) {
		line++
		if message := checker.addLine(text); message != "" {
			return line, message
		}
	}
	return 0, ""
}

// shapeChecker tracks the nesting of a file line by line.
type shapeChecker struct {
	bracketDepth int
	// lineCounts is the number of lines of the current mapping at each indent.
	lineCounts [maxIndent + 1]int
	lastIndent int
}

func (s *shapeChecker) addLine(line []byte) string {
	for _, c := range line {
		switch c {
		case '[', '{':
			s.bracketDepth++
		case ']', '}':
			s.bracketDepth = max(0, s.bracketDepth-1)
		}
		if s.bracketDepth > maxBracketDepth {
			return fmt.Sprintf("more than %d levels of brackets", maxBracketDepth)
		}
	}
	indent, isItem := s.indent(line)
	empty := indent == len(line) || line[indent] == '\n' || line[indent] == '#'
	if empty && !isItem {
		return ""
	}
	if indent > maxIndent {
		return fmt.Sprintf("indented by more than %d characters", maxIndent)
	}
	// Mappings with a deeper indent end at this line. The mapping at this indent also
	// ends if a list item begins.
	for ; s.lastIndent > indent; s.lastIndent-- {
		s.lineCounts[s.lastIndent] = 0
	}
	s.lastIndent = indent
	if isItem {
		s.lineCounts[indent] = 0
	}
	if s.lineCounts[indent]++; s.lineCounts[indent] > maxMappingLines {
		return fmt.Sprintf("more than %d lines in one mapping or text", maxMappingLines)
	}
	return ""
}

// indent returns the offset of the content of a line, after the markers of list items and
// mapping names, and whether there is such a marker.
func (s *shapeChecker) indent(line []byte) (int, bool) {
	isItem := false
	for i, c := range line {
		switch c {
		case ' ', '\t':
		case '-', '?':
			if i+1 < len(line) && line[i+1] != ' ' && line[i+1] != '\n' {
				return i, isItem
			}
			isItem = true
		default:
			return i, isItem
		}
	}
	return len(line), isItem
}
