package goosesettings

import (
	"reflect"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
)

// override sets the settings that the environment names and returns the name
// of the variable by setting. GOOSEBERRYHOLD_STORE_KIND sets store.kind; lists
// are separated by commas. Unknown variables are problems: a misspelt override
// must not go unnoticed.
func override(d *gooseyaml.Document, s *Settings, environ []string) map[string]string {
	targets := map[string]target{}
	collect(reflect.ValueOf(s).Elem(), "", targets)
	used := map[string]string{}
	for _, kv := range environ {
		name, text, _ := strings.Cut(kv, "=")
		if !strings.HasPrefix(name, Prefix) || reserved[name] {
			continue
		}
		t, ok := targets[name]
		if !ok {
			d.External("environment", name, "no such setting; known: %s", strings.Join(sortedNames(targets), ", "))
			continue
		}
		if problem := set(t.value, text); problem != "" {
			d.External("environment", name, "%s", problem)
			continue
		}
		used[t.setting] = name
	}
	return used
}

// reserved are variables of the command line that are not settings.
var reserved = map[string]bool{
	Prefix + "OPERATOR": true, Prefix + "OPERATOR_TOKEN": true, Prefix + "SETTINGS": true,
}

type target struct {
	setting string
	value   reflect.Value
}

func collect(v reflect.Value, path string, into map[string]target) {
	for i := range v.NumField() {
		name := path + v.Type().Field(i).Tag.Get("yaml")
		if v.Field(i).Kind() == reflect.Struct {
			collect(v.Field(i), name+".", into)
			continue
		}
		variable := Prefix + strings.ToUpper(strings.NewReplacer("-", "_", ".", "_").Replace(name))
		into[variable] = target{setting: name, value: v.Field(i)}
	}
}

// set parses text into v and returns a problem or "".
func set(v reflect.Value, text string) string {
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

func sortedNames(m map[string]target) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
