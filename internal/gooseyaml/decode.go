package gooseyaml

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

var durationType = reflect.TypeFor[time.Duration]()

// fieldIndexCache maps a struct type (reflect.Type) to the indexes of its fields by YAML
// name (map[string]int).
var fieldIndexCache sync.Map

func (d *Document) decode(n ast.Node, path string, target any) {
	d.lines[path] = nodeLine(n)
	d.decodeValue(n, path, reflect.ValueOf(target).Elem())
}

func (d *Document) decodeValue(n ast.Node, path string, v reflect.Value) {
	switch n.(type) {
	case *ast.NullNode:
		return
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.appendProblem(nodeLine(n), path, "anchors, aliases and tags are not supported; write the value out")
		return
	}
	if v.Type() == durationType {
		d.decodeDuration(n, path, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, path, v)
	case reflect.Pointer:
		// A pointer field holds an optional mapping.
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(n, path, v.Elem())
	case reflect.Slice:
		d.decodeSlice(n, path, v)
	case reflect.Map:
		d.decodeMap(n, path, v)
	default:
		d.decodeScalar(n, path, v)
	}
}

func (d *Document) decodeStruct(n ast.Node, path string, v reflect.Value) {
	fields := fieldIndexes(v.Type())
	d.forEachPair(n, path, func(name, setting string, value ast.Node) {
		i, ok := fields[name]
		if !ok {
			d.appendProblem(d.lines[setting], setting, "unknown name; known here: %s", strings.Join(fieldNames(v.Type()), ", "))
			return
		}
		d.decodeValue(value, setting, v.Field(i))
	})
}

func (d *Document) decodeMap(n ast.Node, path string, v reflect.Value) {
	m := reflect.MakeMap(v.Type())
	d.forEachPair(n, path, func(name, setting string, value ast.Node) {
		e := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(value, setting, e)
		m.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), e)
	})
	v.Set(m)
}

// forEachPair calls f for each pair of a mapping and records the lines of the names.
func (d *Document) forEachPair(n ast.Node, path string, f func(name, setting string, value ast.Node)) {
	var pairs []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		pairs = m.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{m}
	default:
		d.appendProblem(nodeLine(n), path, "must be a mapping of names to values")
		return
	}
	seen := make(map[string]int, len(pairs))
	for _, p := range pairs {
		name, ok := keyName(p.Key)
		line := nodeLine(p.Key)
		if !ok {
			d.appendProblem(line, path, "a name must be plain text")
			continue
		}
		setting := joinPath(path, name)
		if first, ok := seen[name]; ok {
			d.appendProblem(line, setting, "given twice; first on line %d", first)
			continue
		}
		seen[name] = line
		d.lines[setting] = line
		f(name, setting, p.Value)
	}
}

func (d *Document) decodeSlice(n ast.Node, path string, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.appendProblem(nodeLine(n), path, "must be a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, e := range s.Values {
		setting := fmt.Sprintf("%s[%d]", path, i)
		d.lines[setting] = nodeLine(startNode(e))
		d.decodeValue(e, setting, out.Index(i))
	}
	v.Set(out)
}

func (d *Document) decodeScalar(n ast.Node, path string, v reflect.Value) {
	want := ""
	ok := false
	switch v.Kind() {
	case reflect.String:
		want = "text; put quotes around it"
		var text string
		if text, ok = scalarText(n); ok {
			v.SetString(text)
			return
		}
	case reflect.Bool:
		want = "true or false"
		_, ok = n.(*ast.BoolNode)
	case reflect.Float64:
		want = "a number"
		switch n.(type) {
		case *ast.IntegerNode, *ast.FloatNode:
			ok = true
		}
	case reflect.Int, reflect.Int64:
		want = "a whole number"
		_, ok = n.(*ast.IntegerNode)
	}
	if !ok {
		d.appendProblem(nodeLine(n), path, "must be %s", want)
		return
	}
	if err := yaml.NodeToValue(n, v.Addr().Interface()); err != nil {
		d.appendProblem(nodeLine(n), path, "must be %s within its range", want)
	}
	if v.Kind() == reflect.Float64 && (math.IsInf(v.Float(), 0) || math.IsNaN(v.Float())) {
		d.appendProblem(nodeLine(n), path, "must be a finite number")
	}
}

func (d *Document) decodeDuration(n ast.Node, path string, v reflect.Value) {
	if text, ok := scalarText(n); ok {
		if t, err := time.ParseDuration(text); err == nil {
			v.SetInt(int64(t))
			return
		}
	}
	d.appendProblem(nodeLine(n), path, `must be a duration with a unit, such as "30s" or "10m"`)
}

// scalarText returns the text of a scalar. A number is returned as it is written in the
// file, so labels such as 1.10 and digests that consist of digits need no quotes.
func scalarText(n ast.Node) (string, bool) {
	switch s := n.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
		return n.GetToken().Value, true
	case *ast.StringNode:
		return s.Value, true
	case *ast.LiteralNode:
		return s.Value.Value, true
	}
	return "", false
}

func keyName(k ast.Node) (string, bool) {
	if s, ok := k.(*ast.StringNode); ok {
		return s.Value, true
	}
	return "", false
}

// startNode returns the node on whose line an element begins. For a mapping this is the
// name of its first pair, since the token of a mapping is the colon after that name.
func startNode(n ast.Node) ast.Node {
	switch m := n.(type) {
	case *ast.MappingNode:
		if len(m.Values) > 0 {
			return m.Values[0].Key
		}
	case *ast.MappingValueNode:
		return m.Key
	}
	return n
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldIndexes(t reflect.Type) map[string]int {
	if m, ok := fieldIndexCache.Load(t); ok {
		return m.(map[string]int)
	}
	m := map[string]int{}
	for i, name := range fieldNames(t) {
		m[name] = i
	}
	fieldIndexCache.Store(t, m)
	return m
}

// fieldNames returns the YAML names of a struct type in field order. Every field must have
// a yaml tag.
func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
	}
	return names
}
