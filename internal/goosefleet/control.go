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

// author names the fleet in the audit trail.
const author = "goosefleet"

var controlClient = &http.Client{Timeout: 10 * time.Second}

// get reads JSON from a URL into v; nil only checks the status.
func get(ctx context.Context, url string, v any) error {
	return exchange(ctx, http.MethodGet, url, nil, v)
}

func exchange(ctx context.Context, method, url string, body, v any) error {
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
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Wrap(err, url)
	}
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s: status %d: %.200s", url, resp.StatusCode, answer)
	}
	if v == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(answer, v), url)
}

// SetFault sets fault switches of the simulator; fault is a JSON object such as
// goosestand.EngineFaults or a map of the switches to change.
func (s *Simulator) SetFault(ctx context.Context, fault any) error {
	return exchange(ctx, http.MethodPost, "http://"+s.Control+"/fault", fault, nil)
}

// ClearFaults clears every switch of the simulator.
func (s *Simulator) ClearFaults(ctx context.Context) error {
	return exchange(ctx, http.MethodDelete, "http://"+s.Control+"/fault", nil, nil)
}

// Counters reads the simulator's counters into v.
func (s *Simulator) Counters(ctx context.Context, v any) error {
	return get(ctx, "http://"+s.Control+"/counters", v)
}

// Executed reads the executions of a plain simulator into v.
func (s *Simulator) Executed(ctx context.Context, v any) error {
	return get(ctx, "http://"+s.Control+"/executed", v)
}

// Instance returns the entry instance of that name.
func (f *Fleet) Instance(name string) (*Instance, error) {
	for _, i := range f.Instances {
		if i.Name == name {
			return i, nil
		}
	}
	return nil, errors.Errorf("no instance %q", name)
}

// InstancesOf returns the entry instances of a data centre.
func (f *Fleet) InstancesOf(dc string) []*Instance {
	var all []*Instance
	for _, i := range f.Instances {
		if i.DataCentre == dc {
			all = append(all, i)
		}
	}
	return all
}

// BackendsOf returns the backend servers of a service in a data centre; empty
// names match all.
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
	i, err := f.Instance(name)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if i.process != nil && i.process.signal(syscall.Signal(0)) == nil {
		return errors.Errorf("%s runs already", name)
	}
	if i.log == nil {
		if i.log, err = os.OpenFile(f.logFile(i), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return errors.Wrap(err, name)
		}
	}
	if i.process, err = startProcess(f.spec.Bin, name, i.log, "gooseberryhold", "serve", "--settings", f.settingsFile(i)); err != nil {
		return err
	}
	return f.SetListed(ctx, name, "live")
}

// SetListed sets an instance's state in the platform's list: live, leaving or
// removed.
func (f *Fleet) SetListed(ctx context.Context, name, state string) error {
	i, err := f.Instance(name)
	if err != nil {
		return err
	}
	in := map[string]any{"name": i.Name, "data-centre": i.DataCentre, "address": i.Peer, "state": state}
	return exchange(ctx, http.MethodPost, "http://"+f.Lists[i.DataCentre].Control+"/v1/instances", in, nil)
}

func (f *Fleet) signal(name string, s syscall.Signal) error {
	p, err := f.processOf(name)
	if err != nil {
		return err
	}
	return p.signal(s)
}

// processOf returns the process of an instance, or of a backend server that has
// its own, that was started.
func (f *Fleet) processOf(name string) (*process, error) {
	var of **process
	if i, err := f.Instance(name); err == nil {
		of = &i.process
	} else if b, err := f.backend(name); err == nil {
		of = &b.process
	} else {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if *of == nil {
		return nil, errors.Errorf("%s was not started", name)
	}
	return *of, nil
}

// Kill ends an instance, or a backend server with a process of its own, with
// SIGKILL.
func (f *Fleet) Kill(name string) error { return f.signal(name, syscall.SIGKILL) }

// Pause stops what Kill ends with SIGSTOP until Continue.
func (f *Fleet) Pause(name string) error { return f.signal(name, syscall.SIGSTOP) }

// Continue lets a paused process run on.
func (f *Fleet) Continue(name string) error { return f.signal(name, syscall.SIGCONT) }

// Terminate asks an instance for a graceful stop with SIGTERM.
func (f *Fleet) Terminate(name string) error { return f.signal(name, syscall.SIGTERM) }

// Wait waits until the process of an instance or backend server has ended; the
// error tells how.
func (f *Fleet) Wait(ctx context.Context, name string) error {
	p, err := f.processOf(name)
	if err != nil {
		return err
	}
	return p.wait(ctx)
}

// CutDataCentre cuts a data centre off from the platform's store and list, or
// joins it again. Peers still reach each other.
func (f *Fleet) CutDataCentre(ctx context.Context, dc string, cut bool) error {
	if _, ok := f.Stores[dc]; !ok {
		return errors.Errorf("no data centre %q", dc)
	}
	for name, store := range f.Stores {
		if store.DataCentre != dc {
			continue
		}
		if err := f.cutEndpoint(ctx, name, cut); err != nil {
			return err
		}
	}
	return nil
}

// StoreFault sets fault switches at every endpoint of the store.
func (f *Fleet) StoreFault(ctx context.Context, fault any) error {
	for _, s := range f.Stores {
		if err := s.SetFault(ctx, fault); err != nil {
			return err
		}
	}
	return nil
}

// Operate runs an operator command against the first running instance; the
// error holds what the command printed.
func (f *Fleet) Operate(ctx context.Context, args ...string) error {
	for _, i := range f.Instances {
		f.mu.Lock()
		p := i.process
		f.mu.Unlock()
		if p != nil && p.signal(syscall.Signal(0)) == nil {
			_, err := f.OperateAt(ctx, i.Name, args...)
			return err
		}
	}
	return errors.New("no instance runs")
}

// OperateAt runs an operator command against an instance and returns its
// standard output.
func (f *Fleet) OperateAt(ctx context.Context, name string, args ...string) (string, error) {
	i, err := f.Instance(name)
	if err != nil {
		return "", err
	}
	path, err := filepath.Abs(filepath.Join(f.spec.Bin, "gooseberryhold"))
	if err != nil {
		return "", errors.Wrap(err, "program")
	}
	cmd := exec.CommandContext(ctx, path, args...)
	cmd.Env = append(os.Environ(), "GOOSEBERRYHOLD_OPERATOR="+i.Operator, "GOOSEBERRYHOLD_OPERATOR_TOKEN="+f.OperatorToken)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Run(); err != nil {
		return out.String(), errors.Wrapf(err, "gooseberryhold %v: %s", args, errs.String())
	}
	return out.String(), nil
}

// Leave takes a data centre out of service.
func (f *Fleet) Leave(ctx context.Context, dc string) error {
	return f.Operate(ctx, "leave", "data-centre/"+dc, "--author", author, "--wait", "0")
}

// Return brings a data centre back into service.
func (f *Fleet) Return(ctx context.Context, dc string) error {
	return f.Operate(ctx, "return", "data-centre/"+dc, "--author", author, "--wait", "0")
}
