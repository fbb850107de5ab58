package main

import (
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
	// floodClients is the number of clients in one wave, floodWaves that of the waves at each of
	// two machines, and waveTime bounds a wave.
	floodClients = 2400
	floodWaves   = 3
	waveTime     = 7 * time.Second
	// floodBodyBytes is the longest body of the desired state's limits.
	floodBodyBytes = 4 << 20
	// restartDelay is the time from the end of a process to the start of the next one.
	restartDelay = 500 * time.Millisecond
	// endsThatCount and machinesThatCount are those of the rule: on a tenth of the machines in
	// use, two at least, processes end by themselves three times.
	endsThatCount     = 3
	machinesThatCount = 2
)

// flood plays clients that send many long bodies at once and stop one byte short.
func flood(record *Record, trouble bool) (broken bool, err error) {
	p, err := NewPlatform(record)
	if err != nil {
		return false, err
	}
	defer p.Close()
	p.PutConfig(1)
	machines, _, stopFleet, err := p.startFleet()
	if err != nil {
		return false, err
	}
	defer stopFleet()
	stop := make(chan struct{})
	defer close(stop)
	for _, m := range machines {
		go m.WatchMemory(stop)
	}
	ordinary := startOrdinary(record, machines)
	time.Sleep(2 * time.Second)
	targets := []*Machine{machines[0], machines[len(machines)-1]}
	for wave := 1; wave <= floodWaves; wave++ {
		for _, m := range targets {
			if trouble {
				floodWave(record, m, wave)
			} else {
				time.Sleep(waveTime / 2)
			}
			if !m.Running() {
				time.Sleep(restartDelay)
				if err := m.Start(); err != nil {
					return false, err
				}
			}
		}
	}
	ordinary.stop()
	machinesEnded := 0
	for _, m := range machines {
		record.Log("%s: at most %.0f MB of %d MB, %d ends because of memory, running: %t", m.Name, m.PeakMB, m.MemoryMB, m.MemoryEnds, m.Running())
		if m.MemoryEnds >= endsThatCount {
			machinesEnded++
		}
	}
	record.Log("processes ended three times or more on %d machines; the rule allows %d", machinesEnded, machinesThatCount-1)
	return machinesEnded >= machinesThatCount, nil
}

// floodWave returns when the process has ended or the wave is over.
func floodWave(record *Record, m *Machine, wave int) {
	record.Log("wave %d: %d clients send bodies of %d bytes to %s and stop one byte short", wave, floodClients, floodBodyBytes, m.Name)
	end := time.Now().Add(waveTime)
	var connected, sentBytes atomic.Int64
	var wg sync.WaitGroup
	for n := range floodClients {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp4", m.Front, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			connected.Add(1)
			_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
			_ = c.SetDeadline(end)
			_, _ = fmt.Fprintf(c, "POST /motto/%d HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: flood-%d-%d-%s\r\nX-Deadline-Ms: 10000\r\nX-Model: m\r\nX-Tokens: 5000,1600\r\nContent-Length: %d\r\n\r\n",
				n, routeHost, apiKey, wave, n, m.Name, floodBodyBytes)
			piece := make([]byte, 32<<10)
			for rest := floodBodyBytes - 1; rest > 0; {
				k, err := c.Write(piece[:min(len(piece), rest)])
				sentBytes.Add(int64(k))
				if err != nil {
					return
				}
				rest -= k
			}
			// The connection stays open until the instance closes it.
			_, _ = io.Copy(io.Discard, c)
		})
	}
	for time.Now().Before(end) && m.Running() {
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	record.Log("wave %d at %s: %d clients connected and sent %d MB", wave, m.Name, connected.Load(), sentBytes.Load()>>20)
}

// ordinary are callers within the limits.
type ordinary struct {
	record              *Record
	end                 chan struct{}
	wg                  sync.WaitGroup
	n                   atomic.Int64
	answered, refused   atomic.Int64
	lost, notConnecting atomic.Int64
}

// startOrdinary sends an order or a lookup to one machine after the other.
func startOrdinary(record *Record, machines []*Machine) *ordinary {
	o := &ordinary{record: record, end: make(chan struct{})}
	o.wg.Go(func() {
		for {
			select {
			case <-o.end:
				return
			case <-time.After(50 * time.Millisecond):
			}
			n := o.n.Add(1)
			m := machines[int(n)%len(machines)]
			o.wg.Go(func() { o.send(m, n) })
		}
	})
	return o
}

var ordinaryClient = http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}

func (o *ordinary) send(m *Machine, n int64) {
	id := fmt.Sprintf("order-%d", n)
	q, err := http.NewRequest(http.MethodPost, "http://"+m.Front+"/order/"+id, strings.NewReader("foil"))
	if err != nil {
		panic(err)
	}
	q.Host = routeHost
	q.Header.Set("Authorization", "Bearer "+apiKey)
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Deadline-Ms", "4000")
	resp, err := ordinaryClient.Do(q)
	if err != nil {
		o.lost.Add(1)
		o.record.Log("%s at %s gets no answer: %v", id, m.Name, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		o.answered.Add(1)
		return
	}
	o.refused.Add(1)
	o.record.Log("%s at %s gets status %d", id, m.Name, resp.StatusCode)
}

func (o *ordinary) stop() {
	close(o.end)
	o.wg.Wait()
	o.record.Log("orders of ordinary callers: %d sent, %d answered with success, %d with another status, %d without an answer", o.n.Load(), o.answered.Load(), o.refused.Load(), o.lost.Load())
}
