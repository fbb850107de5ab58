package goosefleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// author is the author of the fleet's operator commands in the audit trail.
const author = "goosefleet"

var controlClient = &http.Client{Timeout: 10 * time.Second}

// getJSON decodes the JSON response from a URL into v. If v is nil, only the
// status is checked.
func getJSON(ctx context.Context, url string, result any) error {
	return doJSON(ctx, http.MethodGet, url, nil, result)
}

func doJSON(ctx context.Context, method, url string, body, result any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, url)
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, url)
	}
	resp, err := controlClient.Do(req)
	if err != nil {
		return errors.Wrap(err, method)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, url)
	}
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s: status %d: %.200s", url, resp.StatusCode, respBody)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(respBody, result), url)
}

// SetFault sets fault switches of the simulator. fault encodes to a JSON object:
// it is a struct such as goosestand.EngineFaults or a map of the switches to
// change.
func (s *Simulator) SetFault(ctx context.Context, fault any) error {
	return doJSON(ctx, http.MethodPost, "http://"+s.Control+"/fault", fault, nil)
}

// ClearFaults clears every switch of the simulator.
func (s *Simulator) ClearFaults(ctx context.Context) error {
	return doJSON(ctx, http.MethodDelete, "http://"+s.Control+"/fault", nil, nil)
}

// Counters reads the simulator's counters into v.
func (s *Simulator) Counters(ctx context.Context, counters any) error {
	return getJSON(ctx, "http://"+s.Control+"/counters", counters)
}

// Executed reads the executions of a plain simulator into v.
func (s *Simulator) Executed(ctx context.Context, executions any) error {
	return getJSON(ctx, "http://"+s.Control+"/executed", executions)
}

// Instance returns the entry instance with this name.
func (f *Fleet) Instance(name string) (*Instance, error) {
	for _, inst := range f.Instances {
		if inst.Name == name {
			return inst, nil
		}
	}
	return nil, errors.Errorf("no instance %q", name)
}

// InstancesOf returns the entry instances of a data centre.
func (f *Fleet) InstancesOf(dc string) []*Instance {
	var all []*Instance
	for _, inst := range f.Instances {
		if inst.DataCentre == dc {
			all = append(all, inst)
		}
	}
	return all
}

// BackendsOf returns the backend servers of a service in a data centre. An empty
// name matches all.
func (f *Fleet) BackendsOf(service, dc string) []*Simulator {
	var all []*Simulator
	for _, b := range f.Backends {
		if (service == "" || b.Service == service) && (dc == "" || b.DataCentre == dc) {
			all = append(all, b)
		}
	}
	return all
}

// StartInstance starts an instance that is not running and lists it as live.
func (f *Fleet) StartInstance(ctx context.Context, name string) error {
	inst, err := f.Instance(name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if inst.process != nil && inst.process.signal(syscall.Signal(0)) == nil {
		return errors.Errorf("%s is already running", name)
	}
	if inst.log == nil {
		if inst.log, err = os.OpenFile(f.logPath(inst), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return errors.Wrap(err, name)
		}
	}
	if inst.process, err = startProcess(f.spec.Bin, name, inst.log, "gooseberryhold", "serve", "--settings", f.settingsPath(inst)); err != nil {
		return err
	}
	return f.SetListState(ctx, name, "live")
}

// SetListState sets the state of an instance in the platform's instance list to
// live, leaving or removed.
func (f *Fleet) SetListState(ctx context.Context, name, state string) error {
	inst, err := f.Instance(name)
	if err != nil {
		return err
	}
	entry := map[string]any{"name": inst.Name, "data-centre": inst.DataCentre, "address": inst.Peer, "state": state}
	return doJSON(ctx, http.MethodPost, "http://"+f.Lists[inst.DataCentre].Control+"/v1/instances", entry, nil)
}

func (f *Fleet) signal(name string, s syscall.Signal) error {
	p, err := f.processOf(name)
	if err != nil {
		return err
	}
	return p.signal(s)
}

// processOf returns the process of an instance, or of a backend server with its
// own process. It returns an error if the process was never started.
func (f *Fleet) processOf(name string) (*process, error) {
	var proc **process
	if inst, err := f.Instance(name); err == nil {
		proc = &inst.process
	} else if b, err := f.backendWithOwnProcess(name); err == nil {
		proc = &b.process
	} else {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if *proc == nil {
		return nil, errors.Errorf("%s was not started", name)
	}
	return *proc, nil
}

// Kill sends SIGKILL to an instance, or to a backend server with its own process.
func (f *Fleet) Kill(name string) error { return f.signal(name, syscall.SIGKILL) }

// Pause sends SIGSTOP to an instance, or to a backend server with its own process.
// The process is suspended until Continue.
func (f *Fleet) Pause(name string) error { return f.signal(name, syscall.SIGSTOP) }

// Continue resumes a paused process with SIGCONT.
func (f *Fleet) Continue(name string) error { return f.signal(name, syscall.SIGCONT) }

// Terminate requests a graceful stop of an instance with SIGTERM.
func (f *Fleet) Terminate(name string) error { return f.signal(name, syscall.SIGTERM) }

// Wait waits until the process of an instance or backend server has ended and
// returns its exit error.
func (f *Fleet) Wait(ctx context.Context, name string) error {
	p, err := f.processOf(name)
	if err != nil {
		return err
	}
	return p.wait(ctx)
}

// CutDataCentreFromPlatform makes the endpoints of the store and the list in a data centre
// unreachable, or reachable again if cut is false. Peers still reach each other.
func (f *Fleet) CutDataCentreFromPlatform(ctx context.Context, dc string, cut bool) error {
	if _, ok := f.Stores[dc]; !ok {
		return errors.Errorf("no data centre %q", dc)
	}
	for name, store := range f.Stores {
		if store.DataCentre != dc {
			continue
		}
		if err := f.setEndpointDown(ctx, name, cut); err != nil {
			return err
		}
	}
	return nil
}

// SetStoreFault sets fault switches of every endpoint of the store.
func (f *Fleet) SetStoreFault(ctx context.Context, fault any) error {
	for _, s := range f.Stores {
		if err := s.SetFault(ctx, fault); err != nil {
			return err
		}
	}
	return nil
}

// RunOperatorCommand runs an operator command against the first running instance. The error
// contains what the command wrote to standard error.
func (f *Fleet) RunOperatorCommand(ctx context.Context, args ...string) error {
	for _, inst := range f.Instances {
		f.mu.Lock()
		p := inst.process
		f.mu.Unlock()
		if p != nil && p.signal(syscall.Signal(0)) == nil {
			_, err := f.RunOperatorCommandAt(ctx, inst.Name, args...)
			return err
		}
	}
	return errors.New("no instance is running")
}

// RunOperatorCommandAt runs an operator command against an instance and returns the
// command's standard output.
func (f *Fleet) RunOperatorCommandAt(ctx context.Context, name string, args ...string) (string, error) {
	inst, err := f.Instance(name)
	if err != nil {
		return "", err
	}
	path, err := filepath.Abs(filepath.Join(f.spec.Bin, "gooseberryhold"))
	if err != nil {
		return "", errors.Wrap(err, "program")
	}
	cmd := exec.CommandContext(ctx, path, args...)
	cmd.Env = append(os.Environ(), "GOOSEBERRYHOLD_OPERATOR="+inst.Operator, "GOOSEBERRYHOLD_OPERATOR_TOKEN="+f.OperatorToken)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	if err := cmd.Run(); err != nil {
		return stdout.String(), errors.Wrapf(err, "gooseberryhold %v: %s", args, stderr.String())
	}
	return stdout.String(), nil
}

// LeaveDataCentre takes a data centre out of service.
func (f *Fleet) LeaveDataCentre(ctx context.Context, dc string) error {
	return f.RunOperatorCommand(ctx, "leave", "data-centre/"+dc, "--author", author, "--wait", "0")
}

// ReturnDataCentre brings a data centre back into service.
func (f *Fleet) ReturnDataCentre(ctx context.Context, dc string) error {
	return f.RunOperatorCommand(ctx, "return", "data-centre/"+dc, "--author", author, "--wait", "0")
}
