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

// fieldCache holds the names of struct types: reflect.Type to map[string]int.
var fieldCache sync.Map

func (d *Document) decode(n ast.Node, path string, into any) {
	d.lines[path] = nodeLine(n)
	d.value(n, path, reflect.ValueOf(into).Elem())
}

func (d *Document) value(n ast.Node, path string, v reflect.Value) {
	switch n.(type) {
	case *ast.NullNode:
		return
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.at(nodeLine(n), path, "anchors, aliases and tags are not supported; write the value out")
		return
	}
	if v.Type() == durationType {
		d.duration(n, path, v)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.structure(n, path, v)
	case reflect.Pointer:
		// A mapping that may be left out.
		v.Set(reflect.New(v.Type().Elem()))
		d.value(n, path, v.Elem())
	case reflect.Slice:
		d.slice(n, path, v)
	case reflect.Map:
		d.stringMap(n, path, v)
	default:
		d.scalar(n, path, v)
	}
}

func (d *Document) structure(n ast.Node, path string, v reflect.Value) {
	fields := fieldsOf(v.Type())
	d.eachPair(n, path, func(name, at string, value ast.Node) {
		i, ok := fields[name]
		if !ok {
			d.at(d.lines[at], at, "unknown name; known here: %s", strings.Join(namesOf(v.Type()), ", "))
			return
		}
		d.value(value, at, v.Field(i))
	})
}

func (d *Document) stringMap(n ast.Node, path string, v reflect.Value) {
	m := reflect.MakeMap(v.Type())
	d.eachPair(n, path, func(name, at string, value ast.Node) {
		e := reflect.New(v.Type().Elem()).Elem()
		d.value(value, at, e)
		m.SetMapIndex(reflect.ValueOf(name).Convert(v.Type().Key()), e)
	})
	v.Set(m)
}

// eachPair calls f for each pair of a mapping and notes the lines of the names.
func (d *Document) eachPair(n ast.Node, path string, f func(name, at string, value ast.Node)) {
	var pairs []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		pairs = m.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{m}
	default:
		d.at(nodeLine(n), path, "must be a mapping of names to values")
		return
	}
	seen := make(map[string]int, len(pairs))
	for _, p := range pairs {
		name, ok := keyName(p.Key)
		line := nodeLine(p.Key)
		if !ok {
			d.at(line, path, "a name must be plain text")
			continue
		}
		at := join(path, name)
		if first, ok := seen[name]; ok {
			d.at(line, at, "given twice; first on line %d", first)
			continue
		}
		seen[name] = line
		d.lines[at] = line
		f(name, at, p.Value)
	}
}

func (d *Document) slice(n ast.Node, path string, v reflect.Value) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.at(nodeLine(n), path, "must be a list")
		return
	}
	out := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, e := range s.Values {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.lines[at] = nodeLine(first(e))
		d.value(e, at, out.Index(i))
	}
	v.Set(out)
}

func (d *Document) scalar(n ast.Node, path string, v reflect.Value) {
	want := ""
	ok := false
	switch v.Kind() {
	case reflect.String:
		want = "text; put quotes around it"
		var text string
		if text, ok = textOf(n); ok {
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
		d.at(nodeLine(n), path, "must be %s", want)
		return
	}
	if err := yaml.NodeToValue(n, v.Addr().Interface()); err != nil {
		d.at(nodeLine(n), path, "must be %s within its range", want)
	}
	if v.Kind() == reflect.Float64 && (math.IsInf(v.Float(), 0) || math.IsNaN(v.Float())) {
		d.at(nodeLine(n), path, "must be a finite number")
	}
}

func (d *Document) duration(n ast.Node, path string, v reflect.Value) {
	if text, ok := textOf(n); ok {
		if t, err := time.ParseDuration(text); err == nil {
			v.SetInt(int64(t))
			return
		}
	}
	d.at(nodeLine(n), path, `must be a duration with a unit, such as "30s" or "10m"`)
}

// textOf returns the text of a scalar. Numbers count as the text they are
// written as: labels such as 1.10 and digests of digits alone need no quotes.
func textOf(n ast.Node) (string, bool) {
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

// first returns the node on whose line an element begins: the name of a
// mapping's first pair, as the token of a mapping is the colon behind it.
func first(n ast.Node) ast.Node {
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldsOf(t reflect.Type) map[string]int {
	if m, ok := fieldCache.Load(t); ok {
		return m.(map[string]int)
	}
	m := map[string]int{}
	for i, name := range namesOf(t) {
		m[name] = i
	}
	fieldCache.Store(t, m)
	return m
}

// namesOf returns the yaml names of a struct type in field order. Every field
// must have one.
func namesOf(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("yaml"), ",")
	}
	return names
}
