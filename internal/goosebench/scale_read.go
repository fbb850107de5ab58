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

// ticksPerSecond is the unit of CPU time in /proc/<pid>/stat on Linux.
const ticksPerSecond = 100

// instanceReading holds the counters of one instance at one time.
type instanceReading struct {
	at              time.Time
	cpuSeconds      float64
	residentBytes   float64
	goroutines      float64
	metrics         map[string]float64
	dispatchedPools int
}

// fleetReading holds the counters of all instances, the stores and the instance lists.
type fleetReading struct {
	at          time.Time
	instances   map[string]instanceReading
	relays      map[string]bool
	storeCalls  map[string]int
	openWatches int
	// listCounters sums the counters of the instance list's endpoints.
	listCounters goosestand.InstanceListCounters
}

// readFleet reads the counters of the fleet. Instances are not read at the same
// moment, so each reading has its own time.
func readFleet(ctx context.Context, f *goosefleet.Fleet) (fleetReading, error) {
	r := fleetReading{at: time.Now(), instances: map[string]instanceReading{}, relays: map[string]bool{}, storeCalls: map[string]int{}}
	readings := make([]instanceReading, len(f.Instances))
	p := pool.New().WithErrors().WithMaxGoroutines(8)
	for n, instance := range f.Instances {
		p.Go(func() error {
			var err error
			readings[n], err = readInstance(ctx, instance, f.PID(instance))
			return errors.Wrap(err, instance.Name)
		})
	}
	if err := p.Wait(); err != nil {
		return r, err
	}
	seen := map[string]bool{}
	for n, instance := range f.Instances {
		r.instances[instance.Name] = readings[n]
		// The relay of a data centre is its lowest-named instance, and f.Instances
		// lists the instances of a data centre in rising order of their names.
		r.relays[instance.Name] = !seen[instance.DataCentre]
		seen[instance.DataCentre] = true
	}
	for _, s := range f.Stores {
		var c goosestand.StoreCounters
		if err := s.Counters(ctx, &c); err != nil {
			return r, errors.Wrap(err, "store")
		}
		for k, n := range c.Calls {
			r.storeCalls[k] += n
		}
		r.openWatches += c.RunningWatches
	}
	for _, l := range f.Lists {
		var c goosestand.InstanceListCounters
		if err := l.Counters(ctx, &c); err != nil {
			return r, errors.Wrap(err, "list")
		}
		r.listCounters.Reads += c.Reads
		r.listCounters.Bytes += c.Bytes
		r.listCounters.LastListBytes = c.LastListBytes
	}
	pools, err := dispatchedPools(ctx, f)
	for name, n := range pools {
		reading := r.instances[name]
		reading.dispatchedPools = n
		r.instances[name] = reading
	}
	return r, err
}

func readInstance(ctx context.Context, instance *goosefleet.Instance, pid int) (instanceReading, error) {
	r := instanceReading{at: time.Now()}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return r, errors.Wrap(err, "processor time")
	}
	if r.cpuSeconds, err = parseCPUSeconds(string(stat)); err != nil {
		return r, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return r, errors.Wrap(err, "memory")
	}
	if fields := strings.Fields(string(statm)); len(fields) > 1 {
		pages, _ := strconv.ParseFloat(fields[1], 64)
		r.residentBytes = pages * float64(os.Getpagesize())
	}
	body, err := httpGet(ctx, "http://"+instance.Operator+"/metrics", "")
	if err != nil {
		return r, err
	}
	r.metrics = parseMetrics(body)
	r.goroutines = r.metrics["go_goroutines"]
	return r, nil
}

// parseCPUSeconds returns user and system time in seconds from the text of
// /proc/<pid>/stat. The name of the program may contain spaces and brackets, so fields
// are counted from the last closing bracket.
func parseCPUSeconds(stat string) (float64, error) {
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

// parseMetrics returns the samples of a text in the Prometheus format, keyed by name
// and labels.
func parseMetrics(text []byte) map[string]float64 {
	m := map[string]float64{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		line := lines.Text()
		space := strings.LastIndexByte(line, ' ')
		if space < 0 || line[0] == '#' {
			continue
		}
		if v, err := strconv.ParseFloat(line[space+1:], 64); err == nil {
			m[line[:space]] = v
		}
	}
	return m
}

func httpGet(ctx context.Context, url, token string) ([]byte, error) {
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

// dispatchedPools returns the number of pools that each instance dispatches, according
// to the first instance.
func dispatchedPools(ctx context.Context, f *goosefleet.Fleet) (map[string]int, error) {
	body, err := httpGet(ctx, "http://"+f.Instances[0].Operator+"/operator/status", f.OperatorToken)
	if err != nil {
		return nil, err
	}
	var status struct {
		Members []struct {
			Instance string            `json:"instance"`
			Pools    []json.RawMessage `json:"pools"`
		} `json:"members"`
	}
	if err := json.Unmarshal(body, &status); err != nil {
		return nil, errors.Wrap(err, "status")
	}
	pools := map[string]int{}
	for _, member := range status.Members {
		pools[member.Instance] = len(member.Pools)
	}
	return pools, nil
}

// publishedChange is one published configuration change.
type publishedChange struct {
	at time.Time
	// number counts the changes from one.
	number int
}

// publishChanges sets a label of a workspace at the given rate per minute, from one
// time to another, both counted from the call. Each label changes a section of the
// configuration, which every instance then reads.
func publishChanges(ctx context.Context, f *goosefleet.Fleet, perMinute float64, from, to time.Duration) []publishedChange {
	if perMinute <= 0 {
		return nil
	}
	interval := time.Duration(float64(time.Minute) / perMinute)
	start := time.Now()
	var published []publishedChange
	// The first change comes half an interval after the start of the window.
	for at := from + min(interval, to-from)/2; at < to; at += interval {
		if !goose.Sleep(ctx, time.Until(start.Add(at))) {
			break
		}
		c := publishedChange{at: time.Now(), number: len(published) + 1}
		object := "workspace/" + f.Workspaces[c.number%len(f.Workspaces)].Name
		if f.RunOperatorCommand(ctx, "label", object, "round="+strconv.Itoa(c.number), "--author", "goosebench", "--wait", "0") != nil {
			break
		}
		published = append(published, c)
	}
	return published
}

// inForceMessage is the log message of an instance that applies a configuration
// version.
const inForceMessage = "configuration in force"

// inForceSeconds returns, for each change, the seconds from the start of the operator
// command until the last instance logged the change as in force.
func inForceSeconds(f *goosefleet.Fleet, changes []publishedChange) ([]float64, error) {
	if len(changes) == 0 {
		return nil, nil
	}
	// An instance may skip a version, so a change is in force at an instance from its
	// first version at or above that of the change.
	inForceAt := map[string]map[int]time.Time{}
	for _, i := range f.Instances {
		text, err := f.ReadLog(i.Name)
		if err != nil {
			return nil, err
		}
		inForceAt[i.Name] = versionsInForce(text)
	}
	var seconds []float64
	for _, c := range changes {
		version := c.number + 1
		var latest time.Time
		for name, versions := range inForceAt {
			at, ok := firstTimeAtLeast(versions, version)
			if !ok {
				return seconds, errors.Errorf("version %d was not in force at %s", version, name)
			}
			if at.After(latest) {
				latest = at
			}
		}
		seconds = append(seconds, latest.Sub(c.at).Seconds())
	}
	return seconds, nil
}

func versionsInForce(log string) map[int]time.Time {
	versions := map[int]time.Time{}
	for line := range strings.Lines(log) {
		var event struct {
			Time    time.Time `json:"time"`
			Message string    `json:"msg"`
			Version int       `json:"version"`
		}
		if json.Unmarshal([]byte(line), &event) == nil && event.Message == inForceMessage {
			versions[event.Version] = event.Time
		}
	}
	return versions
}

func firstTimeAtLeast(versions map[int]time.Time, version int) (time.Time, bool) {
	var first time.Time
	for v, at := range versions {
		if v >= version && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
