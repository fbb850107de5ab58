package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// longBody is the body of a stream's request, within max-body-bytes.
	longBody = 1 << 20
	// lateRead is how long after the begin of its answer a replica reads the rest of the body.
	lateRead = 3 * time.Second
	// slowEvents and slowEventGap make a stream of six seconds, without a pause that callers mind.
	slowEvents   = 60
	slowEventGap = 100 * time.Millisecond
	// keptCallers is the number of callers, and keptRequests that of the requests of each on one
	// kept channel.
	keptCallers  = 6
	keptRequests = 4
	// lostThatCount is that of the rule: more than three times.
	lostThatCount = 4
)

// slowRead plays replicas that answer before they have read a long body, and read on later.
func slowRead(record *Record, trouble bool) (bool, error) {
	p, err := NewPlatform(record)
	if err != nil {
		return false, err
	}
	defer p.Close()
	p.PutConfig(1)
	machines, replicas, stopFleet, err := p.startFleet()
	if err != nil {
		return false, err
	}
	defer stopFleet()
	for _, r := range replicas {
		if r.Service == "wording-desk" {
			r.Early = func(w http.ResponseWriter, q *http.Request) { slowStream(record, r, w, q, trouble) }
		}
	}
	var lost, complete, other atomic.Int64
	var wg sync.WaitGroup
	for n := range keptCallers {
		wg.Go(func() {
			c := &keptCaller{record: record, front: machines[n%len(machines)].Front}
			for k := range keptRequests {
				switch c.stream(fmt.Sprintf("slow-%d-%d", n, k)) {
				case streamComplete:
					complete.Add(1)
				case streamCut:
					lost.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	wg.Wait()
	record.Log("streams on kept channels: %d complete, %d channels closed without a complete answer, %d answered with a failure", complete.Load(), lost.Load(), other.Load())
	return lost.Load() >= lostThatCount, nil
}

// slowStream answers at once and reads the body later.
func slowStream(record *Record, r *Replica, w http.ResponseWriter, q *http.Request, trouble bool) {
	id := q.Header.Get("X-Attempt-Id")
	control := http.NewResponseController(w)
	if err := control.EnableFullDuplex(); err != nil {
		record.Log("%s: %v", r.ID, err)
		return
	}
	body := make(chan error, 1)
	readBody := func() {
		_, err := io.Copy(io.Discard, q.Body)
		body <- err
	}
	if trouble {
		time.AfterFunc(lateRead, readBody)
	} else {
		readBody()
	}
	first := 0
	if last := q.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscan(last, &first)
	}
	record.Log("%s runs %s and begins its answer after event %d", r.ID, id, first)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := first + 1; n <= slowEvents; n++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, strings.Repeat("x", 50))
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			record.Log("%s: the connection of %s has ended at event %d: %v", r.ID, id, n, err)
			break
		}
		time.Sleep(slowEventGap)
	}
	if err := <-body; err != nil {
		record.Log("%s: the body of %s ends with %v", r.ID, id, err)
	}
}

// Results of a stream.
const (
	streamComplete = "complete"
	streamCut      = "cut"
	streamFailed   = "failed"
)

// keptCaller sends one request after the other on one channel.
type keptCaller struct {
	record *Record
	front  string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *keptCaller) stream(id string) string {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.front, time.Second)
		if err != nil {
			c.record.Log("%s: %v", id, err)
			return streamFailed
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(11 * time.Second))
	_, err := fmt.Fprintf(c.conn, "POST /motto/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 10000\r\nX-Model: m\r\nX-Tokens: 5000,1600\r\nContent-Length: %d\r\n\r\n",
		id, routeHost, apiKey, id, longBody)
	if err == nil {
		_, err = c.conn.Write(make([]byte, longBody))
	}
	if err != nil {
		c.record.Log("%s: the request was not sent: %v", id, err)
		c.close()
		return streamFailed
	}
	sent := time.Now()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.record.Log("%s: sent, no answer: %v", id, err)
		c.close()
		return streamCut
	}
	text, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	events := strings.Count(string(text), "\n\n")
	switch {
	case resp.StatusCode != http.StatusOK:
		c.record.Log("%s: status %d after %.1f s: %.200s", id, resp.StatusCode, time.Since(sent).Seconds(), text)
		if resp.Close {
			c.close()
		}
		return streamFailed
	case err != nil || events < slowEvents:
		c.record.Log("%s: the channel ends after %d of %d events, %.1f s after the request: %v", id, events, slowEvents, time.Since(sent).Seconds(), err)
		c.close()
		return streamCut
	}
	c.record.Log("%s: complete, %d events in %.1f s", id, events, time.Since(sent).Seconds())
	return streamComplete
}

func (c *keptCaller) close() {
	_ = c.conn.Close()
	c.conn = nil
}
