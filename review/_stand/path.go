package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"sync"
	"time"
)

// routingOfRoot has one route, whose prefix is a single slash.
const routingOfRoot = `{"version":7,"routes":[
{"name":"r-desk","host":"desk.example","prefix":"/","type":"non_idempotent","timeout-ms":2000,"goal-ms":300,"priority":2,"service":"order-book","attempts":1,"public":false}],
"services":[{"name":"order-book","health-path":"/healthz","max-conns":96,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"guild","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}`

// plainReplica is a replica that takes the request target as it stands in the request line.
type plainReplica struct {
	id       string
	rec      *record
	listener net.Listener

	mu      sync.Mutex
	targets map[string]string
}

func newPlainReplica(d *deployment, id string) *plainReplica {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	r := &plainReplica{id: id, rec: d.rec, listener: l, targets: map[string]string{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	entry, err := json.Marshal(map[string]any{
		"service": "order-book", "addr": l.Addr().String(), "zone": "leith", "version": "v1", "slots": 6, "state": "ready",
		"cold-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	must(err)
	d.store.Put("servers/"+id, string(entry))
	return r
}

// serve runs one request, whose body is not needed.
func (r *plainReplica) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := textproto.NewReader(bufio.NewReader(c))
	line, err := in.ReadLine()
	if err != nil {
		return
	}
	h, err := in.ReadMIMEHeader()
	if err != nil {
		return
	}
	attempt := http.Header(h).Get("X-Attempt-Id")
	method, rest, _ := strings.Cut(line, " ")
	target := strings.TrimSuffix(rest, " HTTP/1.1")
	r.mu.Lock()
	r.targets[attempt] = target
	r.mu.Unlock()
	r.rec.add("run    %s at %s: %s %s", attempt, r.id, method, target)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Instance: %s\r\nX-Stamp: stamp-%s\r\nContent-Length: 4\r\n\r\ndone", attempt, r.id, r.id)
}

// changedPath sends orders to paths that begin with two slashes, as a caller does that joins a
// base address with a slash at its end and a path. It breaks UNASKED if a replica runs one with
// another path.
func changedPath(rec *record) int {
	const requests = 20
	d := newDeployment(rec, "leith")
	defer d.stop()
	d.store.Put("op/config", routingOfRoot)
	r := newPlainReplica(d, "i-leith")
	d.start()
	c := caller{address: d.machines[0].front}
	defer c.close()
	changed := 0
	for n := range requests {
		id, target := nextAttempt(), fmt.Sprintf("/orders/%d?copies=1", n)
		if trouble {
			target = "/" + target
		}
		rec.add("sent   %s: POST %s", id, target)
		a := c.send("POST", target, id, "", 2*time.Second)
		rec.add("answer %s: %d %v", id, a.status, a.err)
		r.mu.Lock()
		ran, ok := r.targets[id]
		r.mu.Unlock()
		if ok && ran != target {
			changed++
			rec.add("changed %s: sent to %s, run as %s", id, target, ran)
		}
	}
	rec.say("%d of %d requests were run with another path", changed, requests)
	if changed > 0 {
		rec.say("UNASKED is broken")
		return exitBroken
	}
	rec.say("UNASKED held")
	return exitHeld
}
