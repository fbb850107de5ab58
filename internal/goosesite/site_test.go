package goosesite

import (
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// siteFile is a site file with the entries that the variants change.
const siteFile = `
name = "desk"
zones = [{ name = "a" }, { name = "b" }]
machines = [{ count = 2, spare = 1, cpu_share = 0.3, zone = "a" }, { count = 1, spare = 1, cpu_share = 0.3, zone = "b" }]
services = [{ name = "model", slots = 16, servers = [{ zone = "a", count = 6 }, { zone = "b", count = 3 }], llm = { batch = 16, kv_tokens = 1000 } }]
classes = [{ name = "read", kind = "stream", stream = { prompt_tokens = { mean = 150000.0, max = 700000.0 } } }, { name = "order", kind = "unsafe" }]
traffic = [{ zone = "a", per_s = 6.0, clients = 9, mix = { read = 1.0, order = 2.0 } }, { zone = "b", per_s = 3.0, clients = 3, mix = { read = 1.0, order = 2.0 } }]
troubles = [{ kind = "zone_cut" }, { kind = "burst", zone = "b" }, { kind = "burst", zone = "a" }, { kind = "hup" }]
[tolerate]
zones = 1
[[day]]
traffic = [{ zone = "a", per_s = 4.0, clients = 9, mix = { read = 1.0, order = 2.0 } }, { zone = "b", per_s = 2.0, clients = 3, mix = { read = 1.0, order = 2.0 } }]
faults = [{ kind = "evacuate", zone = "a" }, { kind = "hup" }]
`

// Guards against variants that do not change the site.
func TestDerive(t *testing.T) {
	t.Parallel()
	tests := map[string]func(t *testing.T, site table){
		"one-data-centre": func(t *testing.T, site table) {
			t.Helper()
			if got := len(tableArray(site, "zones")); got != 1 {
				t.Errorf("got %d zones, want 1", got)
			}
			if got := tableArray(site, "machines"); len(got) != 1 || got[0]["count"] != int64(3) {
				t.Errorf("got machines %v, want 3 in one zone", got)
			}
			if got := tableArray(tableArray(site, "services")[0], "servers"); len(got) != 1 || got[0]["count"] != int64(9) {
				t.Errorf("got servers %v, want 9 in one zone", got)
			}
			if got := tableArray(site, "traffic"); len(got) != 1 || got[0]["per_s"] != 9.0 {
				t.Errorf("got traffic %v, want all of it", got)
			}
			if got := tableArray(tableArray(site, "day")[0], "traffic"); len(got) != 1 || got[0]["per_s"] != 6.0 {
				t.Errorf("got traffic %v on the day, want all of it", got)
			}
			if got := len(tableArray(site, "troubles")); got != 2 {
				t.Errorf("got %d troubles, want 2", got)
			}
			if got := len(tableArray(tableArray(site, "day")[0], "faults")); got != 1 {
				t.Errorf("got %d faults of the day, want 1", got)
			}
		},
		"many-tiny": func(t *testing.T, site table) {
			t.Helper()
			if got := tableArray(site, "machines")[0]["count"]; got != int64(6) {
				t.Errorf("got %v machines, want 6", got)
			}
		},
		"few": func(t *testing.T, site table) {
			t.Helper()
			if got := tableArray(site, "machines")[0]["count"]; got != int64(1) {
				t.Errorf("got %v machines, want 1", got)
			}
			if got := tableArray(tableArray(site, "services")[0], "servers")[0]["count"]; got != int64(2) {
				t.Errorf("got %v servers, want 2", got)
			}
		},
		"orders": func(t *testing.T, site table) {
			t.Helper()
			for _, entry := range trafficEntries(site) {
				mix := entry["mix"].(table)
				if mix["order"] != 8.0 || mix["read"] != 1.0 {
					t.Errorf("got mix %v, want four times the orders", mix)
				}
			}
		},
		"small-engines": func(t *testing.T, site table) {
			t.Helper()
			if got := tableArray(site, "services")[0]["slots"]; got != int64(8) {
				t.Errorf("got %v slots, want 8", got)
			}
		},
		"huge-prompts": func(t *testing.T, site table) {
			t.Helper()
			prompt := tableArray(site, "classes")[0]["stream"].(table)["prompt_tokens"].(table)
			if prompt["max"] != 1_000_000.0 {
				t.Errorf("got prompts %v, want up to a million tokens", prompt)
			}
		},
	}
	for _, name := range Variants() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, err := Derive([]byte(siteFile), name)
			if err != nil {
				t.Fatal(err)
			}
			site := table{}
			if err := toml.Unmarshal(out, &site); err != nil {
				t.Fatal(err)
			}
			if got, want := site["name"], "desk-"+name; got != want {
				t.Errorf("got name %v, want %s", got, want)
			}
			check, ok := tests[name]
			if !ok {
				t.Fatal("the variant has no check")
			}
			check(t, site)
		})
	}
}

// Guards against invalid input that gives an empty site instead of an error.
func TestDeriveErrors(t *testing.T) {
	t.Parallel()
	tests := map[string]struct{ file, variant string }{
		"unknown variant": {file: siteFile, variant: "none"},
		"no toml":         {file: "= 1", variant: "few"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if out, err := Derive([]byte(tc.file), tc.variant); err == nil {
				t.Errorf("got %d bytes without an error", len(out))
			}
		})
	}
}
