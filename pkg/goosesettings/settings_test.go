package goosesettings_test

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesettings"
)

func TestMain(m *testing.M) {
	if len(goose.PolicyNames()) == 0 {
		goose.RegisterPolicy("affinity", func() goose.RoutingPolicy { return nil })
	}
	if len(goose.LongPrefillBoundNames()) == 0 {
		goose.RegisterLongPrefillBound("adaptive", func() goose.LongPrefillBound { return nil })
	}
	os.Exit(m.Run())
}

const valid = `instance: leith-entry-1
data-centre: leith
fleet: drummond-kerr
listen: 127.0.0.1:7001
operator-listen: 127.0.0.1:7002
peer-listen: 127.0.0.1:7003
store:
  kind: etcd
  address: 127.0.0.1:7100
instance-list: http://127.0.0.1:7200/v1/instances
peers: [127.0.0.1:7013]
certificate: leith-entry-1.pem
key: leith-entry-1.key
authority: authority.pem
operator-token-hash: ` + "0000000000000000000000000000000000000000000000000000000000000001" + `
`

// Guards against defaults that differ from the documented ones, and against
// overrides that are ignored.
func TestParse(t *testing.T) {
	t.Parallel()
	s, err := goosesettings.Parse("s.yaml", []byte(valid), []string{
		"GOOSEBERRYHOLD_LEASE_TTL=5s", "GOOSEBERRYHOLD_STORE_ADDRESS=127.0.0.1:1", "PATH=/bin",
		"GOOSEBERRYHOLD_PEERS=127.0.0.1:2, 127.0.0.1:3", "GOOSEBERRYHOLD_MAX_BODY_BYTES=1000", "GOOSEBERRYHOLD_OPERATOR_TOKEN=x",
		"GOOSEBERRYHOLD_PEER_ADVERTISE=127.0.0.1:4",
	})
	if err != nil {
		t.Fatal(err)
	}
	if s.Instance != "leith-entry-1" || s.Store.Kind != "etcd" || s.QueueDiscipline != "fair" || s.RoutingPolicy != "affinity" || s.LongPrefillBound != "adaptive" ||
		s.DrainTimeout != 10*time.Minute || s.OrderRetention != 24*time.Hour || s.MaxBodyBytesInFlight != 256<<20 {
		t.Errorf("got %+v, want the file's values and the defaults", s)
	}
	if s.LeaseTTL != 5*time.Second || s.Store.Address != "127.0.0.1:1" || len(s.Peers) != 2 || s.Peers[1] != "127.0.0.1:3" || s.MaxBodyBytes != 1000 || s.PeerAdvertise != "127.0.0.1:4" {
		t.Errorf("got %+v, want the values of the environment", s)
	}
}

// Guards against invalid settings being accepted, and against errors without the
// position of the problem.
func TestParseErrors(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		old, new string
		environ  []string
		want     string
	}{
		"unknown name":       {"fleet:", "fleets: x\nfleet:", nil, "s:3: fleets: unknown name"},
		"missing":            {"fleet: drummond-kerr\n", "", nil, "s:1: fleet: must be given"},
		"host name":          {"127.0.0.1:7001", "localhost:7001", nil, `s:4: listen: "localhost:7001" must be an IP address and port`},
		"operators' port":    {"127.0.0.1:7002", "127.0.0.1:7001", nil, "s:5: operator-listen: is the same as listen"},
		"advertised name":    {"store:", "peer-advertise: leith\nstore:", nil, `s:7: peer-advertise: "leith" must be an IP address and port`},
		"advertised any":     {"store:", "peer-advertise: 0.0.0.0:7003\nstore:", nil, `s:7: peer-advertise: "0.0.0.0:7003" cannot be dialled`},
		"advertised port":    {"store:", "peer-advertise: 127.0.0.1:0\nstore:", nil, `s:7: peer-advertise: "127.0.0.1:0" cannot be dialled`},
		"store address":      {"  address: 127.0.0.1:7100\n", "", nil, "s:7: store.address: must be given"},
		"peer":               {"[127.0.0.1:7013]", "[a, b]", nil, `s:11: peers[1]: "b" must be an IP address`},
		"list":               {"http://127.0.0.1:7200/v1/instances", "127.0.0.1", nil, "s:10: instance-list: "},
		"token hash":         {"hash: 00", "hash: ", nil, "s:15: operator-token-hash: must be"},
		"environment name":   {"", "", []string{"GOOSEBERRYHOLD_LISTN=x"}, "environment: GOOSEBERRYHOLD_LISTN: no such setting"},
		"environment value":  {"", "", []string{"GOOSEBERRYHOLD_LISTEN=x"}, `environment: GOOSEBERRYHOLD_LISTEN: "x" must be an IP address`},
		"environment type":   {"", "", []string{"GOOSEBERRYHOLD_LEASE_TTL=3"}, "environment: GOOSEBERRYHOLD_LEASE_TTL: must be a duration"},
		"environment number": {"", "", []string{"GOOSEBERRYHOLD_MAX_BODY_BYTES=8MB"}, "environment: GOOSEBERRYHOLD_MAX_BODY_BYTES: must be a whole number"},
		"memory":             {"fleet:", "memory-bytes: 5\nfleet:", nil, "s:3: memory-bytes: is 5; must be 0 (unknown) or at least 67108864"},
		"bytes in flight":    {"fleet:", "body-bytes-in-flight: 5\nfleet:", nil, "s:3: body-bytes-in-flight: is 5, below max-body-bytes"},
		"log level":          {"fleet:", "log-level: loud\nfleet:", nil, `s:3: log-level: is "loud"; must be debug`},
		"no such policy":     {"fleet:", "routing-policy: any\nfleet:", nil, `s:3: routing-policy: is "any"; must be one of ["affinity"`},
		"no such bound":      {"fleet:", "long-prefill-bound: any\nfleet:", nil, `s:3: long-prefill-bound: is "any"; must be one of ["adaptive"`},
		"lease":              {"fleet:", "lease-ttl: 1ms\nfleet:", nil, "s:3: lease-ttl: is 1ms; must be from 1s"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, err := goosesettings.Parse("s", []byte(strings.Replace(valid, tt.old, tt.new, 1)), tt.environ)
			if err == nil || !strings.Contains("\n"+err.Error(), "\n"+tt.want) {
				t.Errorf("got\n%v\nwant a line that begins\n%s", err, tt.want)
			}
		})
	}
}
