package gooseyaml

import (
	"fmt"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/pkg/errors"
)

// MaxBytes is the maximum size of a file.
const MaxBytes = 16 << 20

// Document is a decoded file together with the lines of its settings.
// It is not safe for concurrent use.
type Document struct {
	file     string
	lines    map[string]int
	problems []Problem
	// undecoded contains the settings that could not be decoded.
	undecoded map[string]bool
	// allUndecoded is set if no part of the file could be decoded.
	allUndecoded bool
}

// New returns a document without a file. It collects the problems of values that were not
// read from a file.
func New() *Document { return &Document{lines: map[string]int{}} }

// Decode decodes one YAML document into the struct that target points to. Names come from
// the yaml tags. Unknown and repeated names, values of the wrong type, anchors and tags are
// problems; Err returns all of them.
func Decode(file string, data []byte, target any) *Document {
	d := &Document{file: file, lines: map[string]int{}, undecoded: map[string]bool{}}
	defer d.recordUndecoded()
	if len(data) > MaxBytes {
		d.problems = append(d.problems, Problem{File: file, Message: fmt.Sprintf("file has %d bytes; at most %d are read", len(data), MaxBytes)})
		return d
	}
	if line, message := shapeProblem(data); line > 0 {
		d.appendProblem(line, "", "%s", message)
		return d
	}
	root, err := d.parse(data)
	if err != nil {
		d.appendSyntaxProblem(err)
		return d
	}
	if root != nil {
		d.decode(root, "", target)
	}
	return d
}

// Has reports whether the file contains the setting.
func (d *Document) Has(setting string) bool {
	_, ok := d.lines[setting]
	return ok
}

// ListIncomplete reports whether a list, one of its elements or the name of an element could not be
// decoded, so that references to the elements cannot be checked.
func (d *Document) ListIncomplete(list string) bool {
	for b := range d.undecoded {
		if b == list || strings.HasPrefix(b, list+"[") && (strings.HasSuffix(b, "]") || strings.HasSuffix(b, "].name")) {
			return true
		}
	}
	return false
}

// recordUndecoded records which settings could not be decoded.
func (d *Document) recordUndecoded() {
	for _, p := range d.problems {
		d.undecoded[p.Setting] = true
		d.allUndecoded = d.allUndecoded || p.Setting == ""
	}
}

// AddProblem adds a problem of a setting. Its line is the line of the setting, or of the
// closest enclosing setting that the file contains. AddProblem has no effect if the setting
// or an enclosing one could not be decoded, since that problem has already been added.
func (d *Document) AddProblem(setting, format string, args ...any) {
	if d.allUndecoded {
		return
	}
	for s := setting; len(d.undecoded) > 0 && s != ""; s = parentSetting(s) {
		if d.undecoded[s] {
			return
		}
	}
	d.appendProblem(d.lineOf(setting), setting, format, args...)
}

// Err returns an InvalidError with all problems, sorted by line, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return &InvalidError{Problems: d.problems}
}

func (d *Document) appendProblem(line int, setting, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.file, Line: line, Setting: setting, Message: fmt.Sprintf(format, args...),
	})
}

func (d *Document) lineOf(setting string) int {
	for ; setting != ""; setting = parentSetting(setting) {
		if l, ok := d.lines[setting]; ok {
			return l
		}
	}
	return d.lines[""]
}

// parentSetting returns the enclosing setting, or "" for a setting at the top level.
func parentSetting(setting string) string {
	return setting[:max(0, strings.LastIndexAny(setting, ".["))]
}

// parse returns the root node, or nil for an empty file. A panic of the YAML library is
// returned as an error, so that no file can crash the process.
func (d *Document) parse(data []byte) (root ast.Node, err error) {
	defer func() {
		if p := recover(); p != nil {
			root, err = nil, errors.Errorf("cannot be read as YAML: %v", p)
		}
	}()
	f, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, err
	}
	for _, doc := range f.Docs {
		if doc.Body == nil {
			continue
		}
		if root != nil {
			d.appendProblem(nodeLine(startNode(doc.Body)), "", "a second document; one file holds one")
			return nil, nil
		}
		root = doc.Body
	}
	return root, nil
}

func (d *Document) appendSyntaxProblem(err error) {
	var y yaml.Error
	if errors.As(err, &y) && y.GetToken() != nil && y.GetToken().Position != nil {
		d.appendProblem(y.GetToken().Position.Line, "", "%s", y.GetMessage())
		return
	}
	d.appendProblem(0, "", "%s", err.Error())
}

func nodeLine(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// AddExternalProblem adds a problem of a setting that comes from a source other than the file, such
// as an environment variable.
func (d *Document) AddExternalProblem(source, setting, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: source, Setting: setting, Message: fmt.Sprintf(format, args...)})
}
