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

// MaxBytes bounds the size of a file.
const MaxBytes = 16 << 20

// Document is a decoded file together with the lines of its settings.
// It is not safe for concurrent use.
type Document struct {
	file     string
	lines    map[string]int
	problems []Problem
	// broken are the settings that could not be decoded.
	broken map[string]bool
	// unread is set if nothing could be decoded.
	unread bool
}

// New returns a document without a file, for the checks of values that were
// not read from one.
func New() *Document { return &Document{lines: map[string]int{}} }

// Decode reads one YAML document into the struct that into points to. Names
// come from the yaml tags; unknown and repeated names, values of the wrong
// type, anchors and tags are problems. Err returns them all.
func Decode(file string, data []byte, into any) *Document {
	d := &Document{file: file, lines: map[string]int{}, broken: map[string]bool{}}
	defer d.decoded()
	if len(data) > MaxBytes {
		d.problems = append(d.problems, Problem{File: file, Message: fmt.Sprintf("file has %d bytes; at most %d are read", len(data), MaxBytes)})
		return d
	}
	if line, message := unreasonable(data); line > 0 {
		d.at(line, "", "%s", message)
		return d
	}
	root, err := d.parse(data)
	if err != nil {
		d.syntax(err)
		return d
	}
	if root != nil {
		d.decode(root, "", into)
	}
	return d
}

// Has reports whether the file gives the setting.
func (d *Document) Has(setting string) bool {
	_, ok := d.lines[setting]
	return ok
}

// Broken reports whether a list, an element of it or an element's name could
// not be decoded, so that references to its elements cannot be checked.
func (d *Document) Broken(list string) bool {
	for b := range d.broken {
		if b == list || strings.HasPrefix(b, list+"[") && (strings.HasSuffix(b, "]") || strings.HasSuffix(b, "].name")) {
			return true
		}
	}
	return false
}

// decoded remembers which settings could not be decoded.
func (d *Document) decoded() {
	for _, p := range d.problems {
		d.broken[p.Setting] = true
		d.unread = d.unread || p.Setting == ""
	}
}

// Problem notes a fault of a setting. The line is that of the setting, or of
// the closest enclosing one that the file gives. There is no effect if the
// setting or an enclosing one could not be decoded: that is its fault.
func (d *Document) Problem(setting, format string, args ...any) {
	if d.unread {
		return
	}
	for s := setting; len(d.broken) > 0 && s != ""; s = parent(s) {
		if d.broken[s] {
			return
		}
	}
	d.at(d.line(setting), setting, format, args...)
}

// Err returns all problems in order of their lines as an InvalidError, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sort.SliceStable(d.problems, func(i, j int) bool { return d.problems[i].Line < d.problems[j].Line })
	return &InvalidError{Problems: d.problems}
}

func (d *Document) at(line int, setting, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.file, Line: line, Setting: setting, Message: fmt.Sprintf(format, args...),
	})
}

func (d *Document) line(setting string) int {
	for ; setting != ""; setting = parent(setting) {
		if l, ok := d.lines[setting]; ok {
			return l
		}
	}
	return d.lines[""]
}

// parent returns the enclosing setting; "" for one at the top.
func parent(setting string) string {
	return setting[:max(0, strings.LastIndexAny(setting, ".["))]
}

// parse returns the root node, nil for an empty file. A panic of the library
// counts as a syntax error, so that no file can end the process.
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
			d.at(nodeLine(first(doc.Body)), "", "a second document; one file holds one")
			return nil, nil
		}
		root = doc.Body
	}
	return root, nil
}

func (d *Document) syntax(err error) {
	var y yaml.Error
	if errors.As(err, &y) && y.GetToken() != nil && y.GetToken().Position != nil {
		d.at(y.GetToken().Position.Line, "", "%s", y.GetMessage())
		return
	}
	d.at(0, "", "%s", err.Error())
}

func nodeLine(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}

// External notes a fault of a setting that came from a source other than the
// file, such as an environment variable.
func (d *Document) External(source, setting, format string, args ...any) {
	d.problems = append(d.problems, Problem{File: source, Setting: setting, Message: fmt.Sprintf(format, args...)})
}
