// Package goosesite derives sites that nobody has tuned for from the users' site files:
// other sizes, rates, shares of orders and engines. The hunts on them show what holds only
// on the users' own.
package goosesite

import (
	"maps"
	"math"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// table is a table of a site file.
type table = map[string]any

// variants change a whole site file.
var variants = map[string]func(site table){
	"one-data-centre": oneDataCentre,
	"many-tiny":       manyTiny,
	"few":             few,
	"orders":          orders,
	"small-engines":   smallEngines,
	"huge-prompts":    hugePrompts,
}

// Variants returns the names of the variants.
func Variants() []string { return slices.Sorted(maps.Keys(variants)) }

// Derive returns the site file with a variant's changes. It returns an error if the variant
// is unknown or the file cannot be read.
func Derive(file []byte, variant string) ([]byte, error) {
	change, ok := variants[variant]
	if !ok {
		return nil, errors.Errorf("variant %q is not known; there are %v", variant, Variants())
	}
	site := table{}
	if err := toml.Unmarshal(file, &site); err != nil {
		return nil, errors.Wrap(err, "site file")
	}
	change(site)
	name, _ := site["name"].(string)
	site["name"] = name + "-" + variant
	out, err := toml.Marshal(site)
	return out, errors.Wrap(err, "site file")
}

// tables returns the tables in an array.
func tables(in table, key string) []table {
	var all []table
	list, _ := in[key].([]any)
	for _, v := range list {
		if t, ok := v.(table); ok {
			all = append(all, t)
		}
	}
	return all
}

func setTables(in table, key string, all []table) {
	list := make([]any, len(all))
	for i, t := range all {
		list[i] = t
	}
	in[key] = list
}

// withTraffic are the tables that have traffic: the site and its days.
func withTraffic(site table) []table {
	return append([]table{site}, tables(site, "day")...)
}

func traffic(site table) []table {
	var all []table
	for _, t := range withTraffic(site) {
		all = append(all, tables(t, "traffic")...)
	}
	return all
}

func number(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

// scale multiplies a number; one that was whole stays so and is one at least.
func scale(t table, key string, by float64) {
	switch n := t[key].(type) {
	case int64:
		t[key] = max(int64(math.Round(float64(n)*by)), 1)
	case float64:
		t[key] = n * by
	}
}

// merge adds up the numbers of the tables in the first one.
func merge(all []table, keys ...string) []table {
	if len(all) == 0 {
		return nil
	}
	for _, t := range all[1:] {
		for _, k := range keys {
			if _, whole := t[k].(int64); whole {
				all[0][k] = int64(number(all[0][k]) + number(t[k]))
				continue
			}
			all[0][k] = number(all[0][k]) + number(t[k])
		}
	}
	return all[:1]
}

// oneDataCentre moves everything to the first data centre.
func oneDataCentre(site table) {
	first := tables(site, "zones")[:1]
	setTables(site, "zones", first)
	zone := first[0]["name"]
	setTables(site, "machines", merge(tables(site, "machines"), "count", "spare"))
	for _, t := range withTraffic(site) {
		setTables(t, "traffic", merge(tables(t, "traffic"), "per_s", "clients"))
	}
	for _, s := range tables(site, "services") {
		setTables(s, "servers", merge(tables(s, "servers"), "count"))
	}
	if t, ok := site["tolerate"].(table); ok {
		t["zones"] = int64(0)
	}
	setTables(site, "troubles", within(tables(site, "troubles"), zone))
	for _, d := range tables(site, "day") {
		for _, key := range []string{"plan", "faults"} {
			setTables(d, key, within(tables(d, key), zone))
		}
	}
}

// within leaves out what concerns whole data centres, or others than the zone.
func within(all []table, zone any) []table {
	return slices.DeleteFunc(all, func(t table) bool {
		switch t["kind"] {
		case "zone_cut", "zone_loss", "evacuate", "cold_return", "lossy":
			return true
		}
		return t["zone"] != nil && t["zone"] != zone
	})
}

// manyTiny has three instances for each one, with a third of its processor.
func manyTiny(site table) {
	for _, m := range tables(site, "machines") {
		scale(m, "count", 3)
		scale(m, "cpu_share", 1.0/3)
	}
}

// few has one instance in each data centre and a third of everything else.
func few(site table) {
	for _, m := range tables(site, "machines") {
		m["count"] = int64(1)
	}
	for _, s := range tables(site, "services") {
		for _, r := range tables(s, "servers") {
			scale(r, "count", 1.0/3)
		}
	}
	for _, t := range traffic(site) {
		scale(t, "per_s", 1.0/3)
		scale(t, "clients", 1.0/3)
	}
}

// orders turns half of the load into orders and lookups.
func orders(site table) {
	streams := map[any]bool{}
	for _, c := range tables(site, "classes") {
		streams[c["name"]] = c["kind"] == "stream"
	}
	for _, t := range traffic(site) {
		mix, _ := t["mix"].(table)
		for name := range mix {
			if !streams[name] {
				scale(mix, name, 4)
			}
		}
	}
}

// smallEngines has half of the slots and of the memory in each replica of a model, for less
// traffic.
func smallEngines(site table) {
	for _, s := range tables(site, "services") {
		e, ok := s["llm"].(table)
		if !ok {
			continue
		}
		scale(s, "slots", 0.5)
		scale(e, "batch", 0.5)
		scale(e, "kv_tokens", 0.5)
	}
	for _, t := range traffic(site) {
		scale(t, "per_s", 0.5)
	}
}

// hugePrompts has longer prompts of the longest kind and fewer requests.
func hugePrompts(site table) {
	for _, c := range tables(site, "classes") {
		stream, _ := c["stream"].(table)
		prompt, _ := stream["prompt_tokens"].(table)
		if number(prompt["mean"]) > 100_000 {
			scale(prompt, "mean", 1.8)
			prompt["max"] = 1_000_000.0
		}
	}
	for _, t := range traffic(site) {
		scale(t, "per_s", 0.6)
	}
}
