package goosefleet

import (
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// killAfter is how long a process may take to end after SIGTERM when the fleet
// stops.
const killAfter = 5 * time.Second

// process is a program that the fleet started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	mu   sync.Mutex
	err  error
}

// startProcess starts a program of bin; its output goes to log.
func startProcess(bin, name string, log io.Writer, program string, args ...string) (*process, error) {
	path, err := filepath.Abs(filepath.Join(bin, program))
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// A group of its own keeps a terminal's interrupt from the processes, so
	// that the fleet ends them in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.done)
	}()
	return p, nil
}

func (p *process) signal(s os.Signal) error {
	select {
	case <-p.done:
		return errors.Errorf("%s has ended", p.name)
	default:
		return errors.Wrap(p.cmd.Process.Signal(s), p.name)
	}
}

// wait waits for the end of the process and returns its error.
func (p *process) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%s still runs", p.name)
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		return errors.Wrap(p.err, p.name)
	}
}

// end stops the process with SIGTERM, then SIGKILL.
func (p *process) end() {
	_ = p.signal(syscall.SIGCONT)
	if p.signal(syscall.SIGTERM) != nil {
		return
	}
	select {
	case <-p.done:
	case <-time.After(killAfter):
		_ = p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// PID returns the process id of an instance, zero if it was not started.
func (f *Fleet) PID(i *Instance) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i.process == nil {
		return 0
	}
	return i.process.cmd.Process.Pid
}
