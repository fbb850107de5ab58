// Command review-stand plays the cases of the review that are scripts. It starts processes of
// the deploy file on loopback addresses and is their platform: the store, the replicas and the
// callers.
package main

import (
	"fmt"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseplatformtest"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// routing is the desired state: the routes of the order book at dk-sealworks.
const routing = `{"version":7,"routes":[
{"name":"r-order","host":"desk.example","prefix":"/orders/","type":"non_idempotent","timeout-ms":2000,"goal-ms":300,"priority":2,"service":"order-book","attempts":1,"public":false},
{"name":"r-stock","host":"desk.example","prefix":"/stock/","type":"idempotent","timeout-ms":2000,"goal-ms":300,"priority":2,"service":"order-book","attempts":2,"public":false}],
"services":[{"name":"order-book","health-path":"/healthz","max-conns":96,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"guild","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

// routingWithLedger has a second service beside the order book.
const routingWithLedger = `{"version":7,"routes":[
{"name":"r-order","host":"desk.example","prefix":"/orders/","type":"non_idempotent","timeout-ms":2000,"goal-ms":300,"priority":2,"service":"order-book","attempts":1,"public":false},
{"name":"r-ledger","host":"desk.example","prefix":"/ledger/","type":"non_idempotent","timeout-ms":2000,"goal-ms":300,"priority":2,"service":"ledger","attempts":1,"public":false}],
"services":[{"name":"order-book","health-path":"/healthz","max-conns":96,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0},
{"name":"ledger","health-path":"/healthz","max-conns":96,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"guild","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

const (
	host = "desk.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// trouble is false if the case runs without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// deployment is a small deployment with its platform.
type deployment struct {
	rec      *record
	dir      string
	store    *gooseplatformtest.Store
	server   *httptest.Server
	machines []*machine
}

func newDeployment(rec *record, zones ...string) *deployment {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	d := &deployment{rec: rec, dir: dir, store: gooseplatformtest.NewStore()}
	d.server = httptest.NewServer(d.store)
	for n, zone := range zones {
		d.machines = append(d.machines, newMachine(dir, strings.TrimPrefix(d.server.URL, "http://"), zone, n))
	}
	return d
}

// start starts all machines and waits until they are ready.
func (d *deployment) start() {
	for _, m := range d.machines {
		m.start()
	}
	for _, m := range d.machines {
		m.waitReady(15 * time.Second)
	}
	d.rec.say("%d machines are ready", len(d.machines))
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	for _, m := range d.machines {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept:", d.dir)
	}
}

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

func cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	os.Exit(exitCannotRun)
}

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: review-stand CASE FOLDER")
	}
	cases := map[string]func(*record) int{
		"silent-channels": silentChannels,
		"other-writer":    otherWriter,
		"planned-stop":    plannedStop,
		"many-channels":   manyChannels,
		"long-bodies":     longBodies,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no case %q", os.Args[1])
	}
	rec := newRecord(os.Args[2])
	code := play(rec)
	rec.close()
	os.Exit(code)
}
