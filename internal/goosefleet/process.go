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

// killTimeout is the time between SIGTERM and SIGKILL when the fleet stops a
// process.
const killTimeout = 5 * time.Second

// process is a program that the fleet started.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
	mu     sync.Mutex
	err    error
}

// startProcess starts a program from the directory bin and writes its output to
// log.
func startProcess(bin, name string, log io.Writer, program string, args ...string) (*process, error) {
	path, err := filepath.Abs(filepath.Join(bin, program))
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	cmd := exec.Command(path, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// The process gets its own process group, so that an interrupt from the
	// terminal does not reach it and the fleet can stop its processes in order.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

func (p *process) signal(s os.Signal) error {
	select {
	case <-p.exited:
		return errors.Errorf("%s has ended", p.name)
	default:
		return errors.Wrap(p.cmd.Process.Signal(s), p.name)
	}
}

// wait waits until the process has ended and returns its exit error.
func (p *process) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "%s is still running", p.name)
	case <-p.exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return errors.Wrap(p.err, p.name)
	}
}

// stop stops the process with SIGTERM, then SIGKILL.
func (p *process) stop() {
	_ = p.signal(syscall.SIGCONT)
	if p.signal(syscall.SIGTERM) != nil {
		return
	}
	select {
	case <-p.exited:
	case <-time.After(killTimeout):
		_ = p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// PID returns the process id of an instance, or zero if it was not started.
func (f *Fleet) PID(inst *Instance) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if inst.process == nil {
		return 0
	}
	return inst.process.cmd.Process.Pid
}
