package gooseconfig

import (
	"fmt"
	"reflect"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// maxSummary bounds the lines of a summary, so that audit entries stay small.
const maxSummary = 50

// Summary describes the changes from old to new, one line per object, such as
// "changed backend-server/a". At most maxSummary lines are given; a last line
// counts the rest.
func Summary(old, n *goose.Configuration) []string {
	var s summary
	diff(&s, "service", old.Services, n.Services, func(e goose.ServiceSpec) string { return string(e.Name) })
	diff(&s, "workspace", old.Workspaces, n.Workspaces, func(e goose.WorkspaceSpec) string { return string(e.Name) })
	diff(&s, "data-centre", old.DataCentres, n.DataCentres, func(e goose.DataCentreSpec) string { return string(e.Name) })
	diff(&s, "instance", old.Instances, n.Instances, func(e goose.InstanceSpec) string { return string(e.Name) })
	diff(&s, "backend-server", old.BackendServers, n.BackendServers, func(e goose.BackendServer) string { return string(e.Name) })
	diff(&s, "selector", old.Selectors, n.Selectors, func(e goose.Selector) string { return e.Name })
	if !reflect.DeepEqual(old.WeightStore, n.WeightStore) {
		s.add("changed weight-store: %s to %s", rate(old.WeightStore), rate(n.WeightStore))
	}
	if s.more > 0 {
		s.lines = append(s.lines, fmt.Sprintf("and %d more", s.more))
	}
	return s.lines
}

func rate(w *goose.WeightStore) string {
	if w == nil {
		return "no rate"
	}
	return fmt.Sprintf("%d loads in %s", w.MaxLoads, w.Period)
}

type summary struct {
	lines []string
	more  int
}

func (s *summary) add(format string, args ...any) {
	if len(s.lines) == maxSummary {
		s.more++
		return
	}
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

func diff[T any](s *summary, kind string, old, n []T, name func(T) string) {
	before := make(map[string]T, len(old))
	for _, e := range old {
		before[name(e)] = e
	}
	for _, e := range n {
		was, ok := before[name(e)]
		delete(before, name(e))
		switch {
		case !ok:
			s.add("added %s/%s%s", kind, name(e), leaving(e))
		case !same(was, e):
			s.add("changed %s/%s%s", kind, name(e), stateChange(was, e))
		}
	}
	for _, e := range old {
		if _, gone := before[name(e)]; gone {
			s.add("removed %s/%s", kind, name(e))
		}
	}
}

// same reports whether two objects of one kind are equal. An empty list or map
// says the same as none.
func same(a, b any) bool {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range x.NumField() {
		f, g := x.Field(i), y.Field(i)
		if k := f.Kind(); (k == reflect.Map || k == reflect.Slice) && f.Len() == 0 && g.Len() == 0 {
			continue
		}
		if !reflect.DeepEqual(f.Interface(), g.Interface()) {
			return false
		}
	}
	return true
}

// stateChange names the states if they differ: operators look for it first.
func stateChange(old, n any) string {
	was, is := reflect.ValueOf(old).FieldByName("State"), reflect.ValueOf(n).FieldByName("State")
	if !was.IsValid() || was.String() == is.String() {
		return ""
	}
	return fmt.Sprintf(": %s to %s", was.String(), is.String())
}

func leaving(e any) string {
	if s := reflect.ValueOf(e).FieldByName("State"); s.IsValid() && s.String() == string(goose.StateLeaving) {
		return ": leaving"
	}
	return ""
}
