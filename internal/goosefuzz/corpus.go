package goosefuzz

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// corpusHeader is the first line of a file in the format of Go's fuzzer.
const corpusHeader = "go test fuzz v1"

// formatInput formats an input as a corpus file of Go's fuzzer.
func formatInput(input []any) string {
	out := corpusHeader + "\n"
	for _, v := range input {
		switch v := v.(type) {
		case []byte:
			out += fmt.Sprintf("[]byte(%q)\n", v)
		case byte:
			out += fmt.Sprintf("byte(%q)\n", v)
		default:
			out += fmt.Sprintf("%T(%v)\n", v, v)
		}
	}
	return out
}

// readCorpus reads the inputs in the files of a directory, which may be missing.
func readCorpus(dir string) (inputs [][]any, err error) {
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil {
		return nil, errors.Wrap(err, "corpus")
	}
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, errors.Wrap(err, "corpus")
		}
		input, err := parseInput(string(data))
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		inputs = append(inputs, input)
	}
	return inputs, nil
}

func parseInput(text string) (input []any, err error) {
	header, text, _ := strings.Cut(text, "\n")
	if strings.TrimSpace(header) != corpusHeader {
		return nil, errors.Errorf("first line is %q, want %q", header, corpusHeader)
	}
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		kind, literal, _ := strings.Cut(strings.TrimSuffix(line, ")"), "(")
		v, err := parseValue(kind, literal)
		if err != nil {
			return nil, errors.Wrapf(err, "line %q", line)
		}
		input = append(input, v)
	}
	return input, nil
}

func parseValue(kind, literal string) (any, error) {
	switch kind {
	case "[]byte":
		s, err := strconv.Unquote(literal)
		return []byte(s), err
	case "byte", "uint8":
		if n, err := strconv.ParseUint(literal, 0, 8); err == nil {
			return byte(n), nil
		}
		r, _, _, err := strconv.UnquoteChar(strings.TrimSuffix(strings.TrimPrefix(literal, "'"), "'"), '\'')
		return byte(r), err
	case "int":
		return strconv.Atoi(literal)
	}
	return nil, errors.Errorf("type %q is not supported", kind)
}
