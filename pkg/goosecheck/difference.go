package goosecheck

import (
	"fmt"
	"reflect"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// VersionFinding returns an error unless the updated routing would come into force: instances
// ignore a version that is not above theirs.
func VersionFinding(inForce, updated goose.Routing) []Finding {
	if updated.Version > inForce.Version || reflect.DeepEqual(inForce, updated) {
		return nil
	}
	return []Finding{{
		Severity: SeverityError, Setting: "version",
		Message: fmt.Sprintf("is %d, not above the version in force, which is %d: no instance would use it", updated.Version, inForce.Version),
	}}
}

// RoutingDifferences describes the changes from the routing in force to another one, one line
// per object. Lines do not contain keys.
func RoutingDifferences(inForce, updated goose.Routing) []string {
	var lines []string
	if inForce.Version != updated.Version {
		lines = append(lines, fmt.Sprintf("version %d to %d", inForce.Version, updated.Version))
	}
	lines = appendDifferences(lines, "route", inForce.Routes, updated.Routes, func(r goose.Route) string { return r.Name })
	lines = appendDifferences(lines, "service", inForce.Services, updated.Services, func(s goose.RoutedService) string { return string(s.Name) })
	lines = appendDifferences(lines, "workspace", inForce.Workspaces, updated.Workspaces, func(w goose.RoutedWorkspace) string { return string(w.Name) })
	if inForce.KeyRequired != updated.KeyRequired {
		lines = append(lines, fmt.Sprintf("changed tenants: keys required %t to %t", inForce.KeyRequired, updated.KeyRequired))
	}
	if inForce.Limits != updated.Limits {
		lines = append(lines, fmt.Sprintf("changed limits: %+v to %+v", inForce.Limits, updated.Limits))
	}
	return lines
}

func appendDifferences[T any](lines []string, kind string, inForce, updated []T, name func(T) string) []string {
	old := map[string]T{}
	for _, e := range inForce {
		old[name(e)] = e
	}
	for _, e := range updated {
		before, ok := old[name(e)]
		delete(old, name(e))
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("added %s/%s", kind, name(e)))
		case !reflect.DeepEqual(before, e):
			lines = append(lines, fmt.Sprintf("changed %s/%s", kind, name(e)))
		}
	}
	for _, e := range inForce {
		if _, removed := old[name(e)]; removed {
			delete(old, name(e))
			lines = append(lines, fmt.Sprintf("removed %s/%s", kind, name(e)))
		}
	}
	return lines
}
