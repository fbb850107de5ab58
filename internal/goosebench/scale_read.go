package goosebench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/gooseberryhold/gooseberryhold/internal/goosefleet"
	"github.com/gooseberryhold/gooseberryhold/internal/goosestand"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// ticksPerSecond is the unit of processor time in /proc/<pid>/stat on Linux.
const ticksPerSecond = 100

// reading is the state of one instance at one time.
type reading struct {
	at         time.Time
	processor  float64
	resident   float64
	goroutines float64
	metrics    map[string]float64
	pools      int
}

// fleetReading is the state of all instances and of the store.
type fleetReading struct {
	at        time.Time
	instances map[string]reading
	relays    map[string]bool
	calls     map[string]int
	watches   int
	// list adds up the counters of the instance list's endpoints.
	list goosestand.ListCounters
}

// readFleet reads every instance; readings carry their own times.
func readFleet(ctx context.Context, f *goosefleet.Fleet) (fleetReading, error) {
	r := fleetReading{at: time.Now(), instances: map[string]reading{}, relays: map[string]bool{}, calls: map[string]int{}}
	readings := make([]reading, len(f.Instances))
	p := pool.New().WithErrors().WithMaxGoroutines(8)
	for n, i := range f.Instances {
		p.Go(func() error {
			var err error
			readings[n], err = readInstance(ctx, i, f.PID(i))
			return errors.Wrap(err, i.Name)
		})
	}
	if err := p.Wait(); err != nil {
		return r, err
	}
	seen := map[string]bool{}
	for n, i := range f.Instances {
		r.instances[i.Name] = readings[n]
		// The instances of a data centre are named in rising order.
		r.relays[i.Name] = !seen[i.DataCentre]
		seen[i.DataCentre] = true
	}
	for _, s := range f.Stores {
		var c goosestand.StoreCounters
		if err := s.Counters(ctx, &c); err != nil {
			return r, errors.Wrap(err, "store")
		}
		for k, n := range c.Calls {
			r.calls[k] += n
		}
		r.watches += c.Watches
	}
	for _, l := range f.Lists {
		var c goosestand.ListCounters
		if err := l.Counters(ctx, &c); err != nil {
			return r, errors.Wrap(err, "list")
		}
		r.list.Reads += c.Reads
		r.list.Bytes += c.Bytes
		r.list.Size = c.Size
	}
	pools, err := poolsHeld(ctx, f)
	for name, n := range pools {
		one := r.instances[name]
		one.pools = n
		r.instances[name] = one
	}
	return r, err
}

func readInstance(ctx context.Context, i *goosefleet.Instance, pid int) (reading, error) {
	r := reading{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return r, errors.Wrap(err, "processor time")
	}
	if r.processor, err = processorTime(string(stat)); err != nil {
		return r, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return r, errors.Wrap(err, "memory")
	}
	if fields := strings.Fields(string(statm)); len(fields) > 1 {
		pages, _ := strconv.ParseFloat(fields[1], 64)
		r.resident = pages * float64(os.Getpagesize())
	}
	body, err := fetch(ctx, "http://"+i.Operator+"/metrics", "")
	if err != nil {
		return r, err
	}
	r.metrics = parseMetrics(body)
	r.goroutines = r.metrics["go_goroutines"]
	return r, nil
}

// processorTime returns user and system time in seconds from the text of
// /proc/<pid>/stat. The program's name may contain blanks, so fields are
// counted from its closing bracket.
func processorTime(stat string) (float64, error) {
	end := strings.LastIndexByte(stat, ')')
	fields := strings.Fields(stat[end+1:])
	if end < 0 || len(fields) < 13 {
		return 0, errors.Errorf("stat: unexpected text %.60q", stat)
	}
	total := 0.0
	for _, s := range fields[11:13] {
		ticks, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return 0, errors.Wrap(err, "stat")
		}
		total += ticks / ticksPerSecond
	}
	return total, nil
}

// parseMetrics returns the samples of a Prometheus text by name and labels.
func parseMetrics(text []byte) map[string]float64 {
	m := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		line := lines.Text()
		cut := strings.LastIndexByte(line, ' ')
		if cut < 0 || line[0] == '#' {
			continue
		}
		if v, err := strconv.ParseFloat(line[cut+1:], 64); err == nil {
			m[line[:cut]] = v
		}
	}
	return m
}

func fetch(ctx context.Context, url, token string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, url)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "read")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	return body, errors.Wrap(err, url)
}

// poolsHeld returns how many pools each instance dispatches, as the first
// instance sees it.
func poolsHeld(ctx context.Context, f *goosefleet.Fleet) (map[string]int, error) {
	body, err := fetch(ctx, "http://"+f.Instances[0].Operator+"/operator/status", f.OperatorToken)
	if err != nil {
		return nil, err
	}
	var s struct {
		Members []struct {
			Instance string            `json:"instance"`
			Pools    []json.RawMessage `json:"pools"`
		} `json:"members"`
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return nil, errors.Wrap(err, "status")
	}
	held := map[string]int{}
	for _, m := range s.Members {
		held[m.Instance] = len(m.Pools)
	}
	return held, nil
}

// change is one published configuration change.
type change struct {
	at time.Time
	// round numbers the changes from one.
	round int
}

// publishChanges labels a workspace at a rate per minute between two times from
// now. A workspace's label changes a section, which every instance then reads.
func publishChanges(ctx context.Context, f *goosefleet.Fleet, perMinute float64, from, to time.Duration) []change {
	if perMinute <= 0 {
		return nil
	}
	pause := time.Duration(float64(time.Minute) / perMinute)
	start := time.Now()
	var done []change
	// The first change comes half a pause after the start of the window.
	for at := from + min(pause, to-from)/2; at < to; at += pause {
		if !goose.Sleep(ctx, time.Until(start.Add(at))) {
			break
		}
		c := change{at: time.Now(), round: len(done) + 1}
		object := "workspace/" + f.Workspaces[c.round%len(f.Workspaces)].Name
		if f.Operate(ctx, "label", object, "round="+strconv.Itoa(c.round), "--author", "goosebench", "--wait", "0") != nil {
			break
		}
		done = append(done, c)
	}
	return done
}

// inForceMessage is the text of the log event of a version in force.
const inForceMessage = "configuration in force"

// inForce returns, for each change, the seconds until the last instance logged
// it in force. It counts from the start of the operator's command.
func inForce(f *goosefleet.Fleet, changes []change) ([]float64, error) {
	if len(changes) == 0 {
		return nil, nil
	}
	// An instance may skip a version, so a change is in force with the first
	// version at or above its own.
	logged := map[string]map[int]time.Time{}
	for _, i := range f.Instances {
		text, err := f.Log(i.Name)
		if err != nil {
			return nil, err
		}
		logged[i.Name] = versionsInForce(text)
	}
	var all []float64
	for _, c := range changes {
		version := c.round + 1
		var last time.Time
		for name, versions := range logged {
			at, ok := firstAtLeast(versions, version)
			if !ok {
				return all, errors.Errorf("version %d was not in force at %s", version, name)
			}
			if at.After(last) {
				last = at
			}
		}
		all = append(all, last.Sub(c.at).Seconds())
	}
	return all, nil
}

func versionsInForce(text string) map[int]time.Time {
	versions := map[int]time.Time{}
	for line := range strings.Lines(text) {
		var e struct {
			Time    time.Time `json:"time"`
			Message string    `json:"msg"`
			Version int       `json:"version"`
		}
		if json.Unmarshal([]byte(line), &e) == nil && e.Message == inForceMessage {
			versions[e.Version] = e.Time
		}
	}
	return versions
}

func firstAtLeast(versions map[int]time.Time, version int) (time.Time, bool) {
	var first time.Time
	for v, at := range versions {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
