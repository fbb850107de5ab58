// Package goosesite derives variants of the users' site files with other sizes, rates,
// shares of orders and engines. Nothing is tuned for these variants: fault searches on them
// show which properties hold only on the users' own sites.
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

// variants maps the names of the variants to the functions that apply them to a site.
var variants = map[string]func(site table){
	"one-data-centre": oneDataCentre,
	"many-tiny":       manyTiny,
	"few":             fewInstances,
	"orders":          moreOrders,
	"small-engines":   smallEngines,
	"huge-prompts":    hugePrompts,
}

// Variants returns the names of the variants.
func Variants() []string { return slices.Sorted(maps.Keys(variants)) }

// Derive returns the site file with the changes of a variant. It returns an error if the
// variant is unknown or the file cannot be decoded.
func Derive(file []byte, variant string) ([]byte, error) {
	change, ok := variants[variant]
	if !ok {
		return nil, errors.Errorf("unknown variant %q; known: %v", variant, Variants())
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

// tableArray returns the tables of the array under a key; other elements are left out.
func tableArray(in table, key string) []table {
	var all []table
	list, _ := in[key].([]any)
	for _, v := range list {
		if t, ok := v.(table); ok {
			all = append(all, t)
		}
	}
	return all
}

func setTableArray(in table, key string, all []table) {
	list := make([]any, len(all))
	for i, t := range all {
		list[i] = t
	}
	in[key] = list
}

// tablesWithTraffic returns the tables that may contain traffic: the site and its days.
func tablesWithTraffic(site table) []table {
	return append([]table{site}, tableArray(site, "day")...)
}

func trafficEntries(site table) []table {
	var all []table
	for _, t := range tablesWithTraffic(site) {
		all = append(all, tableArray(t, "traffic")...)
	}
	return all
}

func toFloat(v any) float64 {
	switch n := v.(type) {
	case int64:
		return float64(n)
	case float64:
		return n
	}
	return 0
}

// scale multiplies a number. An integer stays an integer and is at least 1.
func scale(t table, key string, factor float64) {
	switch n := t[key].(type) {
	case int64:
		t[key] = max(int64(math.Round(float64(n)*factor)), 1)
	case float64:
		t[key] = n * factor
	}
}

// sumIntoFirst adds the numbers under the keys of all tables to the first one, which it
// returns alone.
func sumIntoFirst(all []table, keys ...string) []table {
	if len(all) == 0 {
		return nil
	}
	for _, t := range all[1:] {
		for _, k := range keys {
			if _, whole := t[k].(int64); whole {
				all[0][k] = int64(toFloat(all[0][k]) + toFloat(t[k]))
				continue
			}
			all[0][k] = toFloat(all[0][k]) + toFloat(t[k])
		}
	}
	return all[:1]
}

// oneDataCentre moves everything to the first data centre (a zone in site files).
func oneDataCentre(site table) {
	first := tableArray(site, "zones")[:1]
	setTableArray(site, "zones", first)
	zone := first[0]["name"]
	setTableArray(site, "machines", sumIntoFirst(tableArray(site, "machines"), "count", "spare"))
	for _, t := range tablesWithTraffic(site) {
		setTableArray(t, "traffic", sumIntoFirst(tableArray(t, "traffic"), "per_s", "clients"))
	}
	for _, s := range tableArray(site, "services") {
		setTableArray(s, "servers", sumIntoFirst(tableArray(s, "servers"), "count"))
	}
	if t, ok := site["tolerate"].(table); ok {
		t["zones"] = int64(0)
	}
	setTableArray(site, "troubles", withoutOtherZones(tableArray(site, "troubles"), zone))
	for _, d := range tableArray(site, "day") {
		for _, key := range []string{"plan", "faults"} {
			setTableArray(d, key, withoutOtherZones(tableArray(d, key), zone))
		}
	}
}

// withoutOtherZones removes the entries that concern whole data centres or another zone.
func withoutOtherZones(all []table, zone any) []table {
	return slices.DeleteFunc(all, func(t table) bool {
		switch t["kind"] {
		case "zone_cut", "zone_loss", "evacuate", "cold_return", "lossy":
			return true
		}
		return t["zone"] != nil && t["zone"] != zone
	})
}

// manyTiny replaces each instance by three, each with a third of its CPU share.
func manyTiny(site table) {
	for _, m := range tableArray(site, "machines") {
		scale(m, "count", 3)
		scale(m, "cpu_share", 1.0/3)
	}
}

// fewInstances leaves one instance per data centre and a third of the replicas and the
// traffic.
func fewInstances(site table) {
	for _, m := range tableArray(site, "machines") {
		m["count"] = int64(1)
	}
	for _, s := range tableArray(site, "services") {
		for _, r := range tableArray(s, "servers") {
			scale(r, "count", 1.0/3)
		}
	}
	for _, t := range trafficEntries(site) {
		scale(t, "per_s", 1.0/3)
		scale(t, "clients", 1.0/3)
	}
}

// moreOrders multiplies the weight of all classes without streams, such as orders and
// lookups, by four, so that they are half of the load.
func moreOrders(site table) {
	streams := map[any]bool{}
	for _, c := range tableArray(site, "classes") {
		streams[c["name"]] = c["kind"] == "stream"
	}
	for _, t := range trafficEntries(site) {
		mix, _ := t["mix"].(table)
		for name := range mix {
			if !streams[name] {
				scale(mix, name, 4)
			}
		}
	}
}

// smallEngines halves the slots, the batch and the memory of each model replica, and the
// traffic.
func smallEngines(site table) {
	for _, s := range tableArray(site, "services") {
		e, ok := s["llm"].(table)
		if !ok {
			continue
		}
		scale(s, "slots", 0.5)
		scale(e, "batch", 0.5)
		scale(e, "kv_tokens", 0.5)
	}
	for _, t := range trafficEntries(site) {
		scale(t, "per_s", 0.5)
	}
}

// hugePrompts makes the prompts of the classes with the longest prompts longer and reduces
// the request rate.
func hugePrompts(site table) {
	for _, c := range tableArray(site, "classes") {
		stream, _ := c["stream"].(table)
		prompt, _ := stream["prompt_tokens"].(table)
		if toFloat(prompt["mean"]) > 100_000 {
			scale(prompt, "mean", 1.8)
			prompt["max"] = 1_000_000.0
		}
	}
	for _, t := range trafficEntries(site) {
		scale(t, "per_s", 0.6)
	}
}
