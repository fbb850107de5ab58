package gooseconfig

import (
	"fmt"
	"reflect"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// maxSummaryLines limits a summary, so that audit entries stay small.
const maxSummaryLines = 50

// Summary describes the changes from old to updated, one line per object, such
// as "changed backend-server/a". It returns at most maxSummaryLines of them; one
// more line counts the rest.
func Summary(old, updated *goose.Configuration) []string {
	var s summaryBuilder
	addDifferences(&s, "service", old.Services, updated.Services, func(e goose.ServiceSpec) string { return string(e.Name) })
	addDifferences(&s, "workspace", old.Workspaces, updated.Workspaces, func(e goose.WorkspaceSpec) string { return string(e.Name) })
	addDifferences(&s, "data-centre", old.DataCentres, updated.DataCentres, func(e goose.DataCentreSpec) string { return string(e.Name) })
	addDifferences(&s, "instance", old.Instances, updated.Instances, func(e goose.InstanceSpec) string { return string(e.Name) })
	addDifferences(&s, "backend-server", old.BackendServers, updated.BackendServers, func(e goose.BackendServer) string { return string(e.Name) })
	addDifferences(&s, "selector", old.Selectors, updated.Selectors, func(e goose.Selector) string { return e.Name })
	if !reflect.DeepEqual(old.WeightStore, updated.WeightStore) {
		s.add("changed weight-store: %s to %s", formatRate(old.WeightStore), formatRate(updated.WeightStore))
	}
	if s.omitted > 0 {
		s.lines = append(s.lines, fmt.Sprintf("and %d more", s.omitted))
	}
	return s.lines
}

func formatRate(w *goose.WeightStore) string {
	if w == nil {
		return "no rate"
	}
	return fmt.Sprintf("%d loads in %s", w.MaxLoads, w.Period)
}

type summaryBuilder struct {
	lines   []string
	omitted int
}

func (s *summaryBuilder) add(format string, args ...any) {
	if len(s.lines) == maxSummaryLines {
		s.omitted++
		return
	}
	s.lines = append(s.lines, fmt.Sprintf(format, args...))
}

func addDifferences[T any](s *summaryBuilder, kind string, old, updated []T, name func(T) string) {
	unmatched := make(map[string]T, len(old))
	for _, e := range old {
		unmatched[name(e)] = e
	}
	for _, e := range updated {
		oldElement, ok := unmatched[name(e)]
		delete(unmatched, name(e))
		switch {
		case !ok:
			s.add("added %s/%s%s", kind, name(e), leavingSuffix(e))
		case !equalObjects(oldElement, e):
			s.add("changed %s/%s%s", kind, name(e), stateChangeSuffix(oldElement, e))
		}
	}
	for _, e := range old {
		if _, removed := unmatched[name(e)]; removed {
			s.add("removed %s/%s", kind, name(e))
		}
	}
}

// equalObjects reports whether two objects of one kind are equal. An empty list
// or map equals a nil one.
func equalObjects(a, b any) bool {
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

// stateChangeSuffix returns the old and the new state if they differ: a change
// of state is what operators look for first.
func stateChangeSuffix(old, updated any) string {
	oldState, newState := reflect.ValueOf(old).FieldByName("State"), reflect.ValueOf(updated).FieldByName("State")
	if !oldState.IsValid() || oldState.String() == newState.String() {
		return ""
	}
	return fmt.Sprintf(": %s to %s", oldState.String(), newState.String())
}

func leavingSuffix(e any) string {
	if s := reflect.ValueOf(e).FieldByName("State"); s.IsValid() && s.String() == string(goose.StateLeaving) {
		return ": leaving"
	}
	return ""
}
