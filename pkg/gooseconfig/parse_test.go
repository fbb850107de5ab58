package gooseconfig_test

import (
	"strings"
	"testing"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefuzz"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"

	"github.com/pkg/errors"
)

const valid = `services:
  - name: mend-llm
    kind: model
    idempotent: true
    deadline: 60s
workspaces:
  - name: press-room
    key-hashes: [` + "0000000000000000000000000000000000000000000000000000000000000001" + `]
data-centres:
  - name: kochi-a
    region: kochi
backend-servers:
  - name: mend-1
    service: mend-llm
    data-centre: kochi-a
    address: 127.0.0.1:9001
    memory-tokens: 200000
    concurrency: 8
    cold-concurrency: 1
    cold-tokens: 8000
weight-store:
  loads: 4
  period: 1m
`

// labelsDocument has the lists and maps that the document valid does not have.
const labelsDocument = `workspaces: [{name: w, key-hashes: [], weight: 2.5, labels: {a: b}}]
data-centres: [{name: d, state: leaving, labels: {a: b}}]
instances: [{name: i, state: leaving, labels: {a: b}}]
selectors:
  - {name: s, workspaces: {a: b}, services: {a: b}}
  - {name: t, backend-servers: {a: b, c: d}, data-centres: {a: b}}
`

// Guards against defaults that differ from the documented ones.
func TestParseDefaults(t *testing.T) {
	t.Parallel()
	c, err := gooseconfig.Parse("fleet.yaml", []byte(valid))
	if err != nil {
		t.Fatal(err)
	}
	if s := c.Services[0]; s.Protocol != "openai" || s.Model != "mend-llm" {
		t.Errorf("got protocol %q and model %q, want openai and mend-llm", s.Protocol, s.Model)
	}
	if got := c.Workspaces[0].Weight; got != 1 {
		t.Errorf("got weight %g, want 1", got)
	}
	if b := c.BackendServers[0]; b.State != goose.StateActive || b.Fencing != goose.FencingIgnored {
		t.Errorf("got state %s and fencing %s, want active and ignored", b.State, b.Fencing)
	}
	checkFormat(t, c)
}

// checkFormat checks that Parse reads what Format writes as the same configuration.
func checkFormat(t *testing.T, c *goose.Configuration) {
	t.Helper()
	out, err := gooseconfig.Format(c)
	if err != nil {
		t.Fatal(err)
	}
	again, err := gooseconfig.Parse("formatted", out)
	if err != nil {
		t.Fatalf("the formatted configuration is rejected: %v\n%s", err, out)
	}
	if d := gooseconfig.Summary(c, again); len(d) > 0 {
		t.Errorf("formatting changed the configuration: %v\n%s", d, out)
	}
}

// Guards against an invalid file being accepted, and against errors without the
// position of the problem.
func TestParseErrors(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		old, new string
		want     []string
	}{
		"unknown name":         {"deadline: 60s", "deadline: 60s\n    retries: 3", []string{"f:6: services[0].retries: unknown name"}},
		"unknown top name":     {"services:", "service: []\nservices:", []string{"f:1: service: unknown name"}},
		"name given twice":     {"kind: model", "kind: model\n    kind: plain", []string{"f:4: services[0].kind: given twice; first on line 3"}},
		"syntax":               {"kind: model", "kind: [model", []string{"f:4: ',' or ']' must be specified"}},
		"wrong type":           {"concurrency: 8\n", "concurrency: many\n", []string{"f:18: backend-servers[0].concurrency: must be a whole number"}},
		"number too large":     {"concurrency: 8\n", "concurrency: 99999999999999999999\n", []string{"f:18: backend-servers[0].concurrency: must be"}},
		"text is a number":     {"name: press-room", "name: true", []string{"f:7: workspaces[0].name: must be text; put quotes around it"}},
		"duration, no unit":    {"60s", "60", []string{"f:5: services[0].deadline: must be a duration with a unit"}},
		"list is a mapping":    {"workspaces:\n  - name: press-room", "workspaces:\n    name: press-room", []string{"f:7: workspaces: must be a list"}},
		"anchor":               {"kind: model", "kind: &a model", []string{"f:3: services[0].kind: anchors, aliases and tags"}},
		"second document":      {"services:", "a: 1\n---\nservices:", []string{"f:3: a second document"}},
		"idempotent missing":   {"    idempotent: true\n", "", []string{"f:2: services[0].idempotent: must be given"}},
		"unknown protocol":     {"kind: model", "kind: model\n    protocol: telex", []string{`f:4: services[0].protocol: is "telex"; must be one of`}},
		"bad name":             {"name: press-room", "name: Press_Room", []string{`f:7: workspaces[0].name: "Press_Room" is not a name`}},
		"short key hash":       {"[0000", "[00", []string{"f:8: workspaces[0].key-hashes[0]: must be a SHA-256 sum"}},
		"duplicate name":       {"region: kochi", "region: kochi\n  - name: kochi-a", []string{`f:12: data-centres[1].name: "kochi-a" is already the name of data-centres[0]`}},
		"weight negative":      {"name: press-room", "name: press-room\n    weight: -1", []string{"f:8: workspaces[0].weight: is -1; must be above 0"}},
		"weight not a number":  {"name: press-room", "name: press-room\n    weight: .nan", []string{"f:8: workspaces[0].weight: must be a number"}},
		"host name":            {"127.0.0.1:9001", "mend:9001", []string{`f:16: backend-servers[0].address: "mend:9001" must be an IP address and port`}},
		"no such data centre":  {"data-centre: kochi-a", "data-centre: kochi-x", []string{`f:15: backend-servers[0].data-centre: no data centre "kochi-x"`}},
		"cold above warm":      {"cold-concurrency: 1", "cold-concurrency: 9", []string{"f:19: backend-servers[0].cold-concurrency: is 9, above concurrency, which is 8"}},
		"cold concurrency 0":   {"cold-concurrency: 1", "cold-concurrency: 0", []string{"f:19: backend-servers[0].cold-concurrency: is 0; must be from 1"}},
		"cold tokens too many": {"cold-tokens: 8000", "cold-tokens: 200001", []string{"f:20: backend-servers[0].cold-tokens: is 200001, above memory-tokens"}},
		"bad state":            {"region: kochi", "region: kochi\n    state: gone", []string{`f:12: data-centres[0].state: is "gone"; must be one of`}},
		"rate of no loads":     {"loads: 4", "loads: 0", []string{"f:22: weight-store.loads: is 0; must be from 1 to 1000"}},
		"rate without period":  {"  period: 1m\n", "", []string{"f:21: weight-store.period: is 0s; must be from 1s to 24h0m0s"}},
		"rate of a short time": {"period: 1m", "period: 10ms", []string{"f:23: weight-store.period: is 10ms; must be from 1s"}},
		"rate in other units":  {"loads: 4", "bytes: 4", []string{"f:22: weight-store.bytes: unknown name"}},
		"two problems": {"service: mend-llm", "service: mend\n    fencing: maybe", []string{
			`f:14: backend-servers[0].service: no service "mend"`, `f:15: backend-servers[0].fencing: is "maybe"`,
		}},
		"wrong types and values": {"kind: model\n    idempotent: true\n    deadline: 60s", "kind: [model]\n    retries: 3\n    idempotent: 1\n    deadline: 0s", []string{
			"f:3: services[0].kind: must be text", "f:4: services[0].retries: unknown name", "f:5: services[0].idempotent: must be true or false",
			"f:6: services[0].deadline: must be given and above zero",
		}},
		"address of two servers": {"cold-tokens: 8000\n", "cold-tokens: 8000\n  - name: mend-2\n    address: \"[::ffff:127.0.0.1]:9001\"\n", []string{
			`f:22: backend-servers[1].address: [::ffff:127.0.0.1]:9001 is already the address of backend server "mend-1"`,
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := gooseconfig.Parse("f", []byte(strings.Replace(valid, tt.old, tt.new, 1)))
			var invalid *gooseconfig.InvalidError
			if !errors.As(err, &invalid) {
				t.Fatalf("got %v, want an InvalidError", err)
			}
			if len(invalid.Problems) < len(tt.want) || len(tt.want) > 1 && len(invalid.Problems) > len(tt.want) {
				t.Errorf("got %d problems, want %d", len(invalid.Problems), len(tt.want))
			}
			for _, w := range tt.want {
				if !strings.Contains("\n"+err.Error(), "\n"+w) {
					t.Errorf("got\n%v\nwant a line that begins\n%s", err, w)
				}
			}
		})
	}
}

// Guards against a file that crashes the process, and against a configuration
// that is accepted but cannot be formatted and parsed again.
var parseTarget = goosefuzz.Target{
	Runs: 250_000,
	Seeds: [][]any{
		{[]byte(valid)},
		{[]byte("services: [{name: a, kind: plain}]\nselectors: [{name: s, services: {a: b}}]\n")},
		{[]byte("selectors: [{name: 0, services: {}}]")},
		{[]byte(labelsDocument)},
		{[]byte("- &a [*a]\n--- !!str\n? {}\n: |\n  x\n")},
	},
	Check: func(t *testing.T, data []byte) {
		c, err := gooseconfig.Parse("f", data)
		if err != nil {
			if err.Error() == "" {
				t.Error("got an error without a message")
			}
			return
		}
		checkFormat(t, c)
	},
}

func FuzzParse(f *testing.F)     { parseTarget.Fuzz(f) }
func TestFuzzParse(t *testing.T) { parseTarget.Test(t) }
