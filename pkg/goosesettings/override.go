package goosesettings

import (
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
)

// applyOverrides applies the environment variables that override settings, and
// returns their names by setting. For example, GOOSEBERRYHOLD_STORE_KIND sets
// store.kind. The elements of a list are separated by commas. An unknown variable
// is a problem, so that a misspelt override is noticed.
func applyOverrides(d *gooseyaml.Document, s *Settings, environ []string) map[string]string {
	targets := map[string]overrideTarget{}
	collectTargets(reflect.ValueOf(s).Elem(), "", targets)
	variableBySetting := map[string]string{}
	for _, kv := range environ {
		name, text, _ := strings.Cut(kv, "=")
		if !strings.HasPrefix(name, EnvPrefix) || nonSettingVariables[name] {
			continue
		}
		t, ok := targets[name]
		if !ok {
			d.AddExternalProblem("environment", name, "no such setting; known: %s", strings.Join(sortedNames(targets), ", "))
			continue
		}
		if problem := parseValue(t.value, text); problem != "" {
			d.AddExternalProblem("environment", name, "%s", problem)
			continue
		}
		variableBySetting[t.setting] = name
	}
	return variableBySetting
}

// nonSettingVariables are variables that the command line reads and that override no
// setting.
var nonSettingVariables = map[string]bool{
	EnvPrefix + "OPERATOR": true, EnvPrefix + "OPERATOR_TOKEN": true, EnvPrefix + "SETTINGS": true,
}

// overrideTarget is a setting that an environment variable can override.
type overrideTarget struct {
	setting string
	value   reflect.Value
}

// collectTargets adds the fields of a struct to targets by the name of their
// environment variable.
func collectTargets(v reflect.Value, path string, targets map[string]overrideTarget) {
	for i := range v.NumField() {
		name := path + v.Type().Field(i).Tag.Get("yaml")
		if v.Field(i).Kind() == reflect.Struct {
			collectTargets(v.Field(i), name+".", targets)
			continue
		}
		variable := EnvPrefix + strings.ToUpper(strings.NewReplacer("-", "_", ".", "_").Replace(name))
		targets[variable] = overrideTarget{setting: name, value: v.Field(i)}
	}
}

// parseValue parses text into v. It returns a description of the problem, or "" if
// there is none.
func parseValue(v reflect.Value, text string) string {
	switch v.Interface().(type) {
	case time.Duration:
		t, err := time.ParseDuration(text)
		if err != nil {
			return `must be a duration with a unit, such as "30s" or "10m"`
		}
		v.SetInt(int64(t))
	case int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return "must be a whole number"
		}
		v.SetInt(n)
	case []string:
		var list []string
		for e := range strings.SplitSeq(text, ",") {
			if e = strings.TrimSpace(e); e != "" {
				list = append(list, e)
			}
		}
		v.Set(reflect.ValueOf(list))
	default:
		v.SetString(text)
	}
	return ""
}

func sortedNames(m map[string]overrideTarget) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
