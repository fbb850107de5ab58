package gooseproof

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a status that shows no running requests while some run, by
// which operators would stop an instance too early.
func TestStatusCountsRunningRequests(t *testing.T) {
	r := newRig(t)
	i := r.Instances[0]
	running := func() (int, error) {
		var s struct {
			Running int `json:"running"`
		}
		out, err := r.OperateAt(r.ctx, i.Name, "status", "--output", "json")
		if err != nil {
			return 0, err
		}
		err = errors.Wrap(json.Unmarshal([]byte(out), &s), "status")
		return s.Running, err
	}
	done := make(chan answer, 1)
	go func() { done <- r.generate(i.Caller, "status", 1000, 4000) }()
	r.eventually("a running request", 30*time.Second, func() error {
		n, err := running()
		if err == nil && n == 0 {
			err = errors.New("got 0 running requests, want 1")
		}
		return err
	})
	if a := <-done; !a.served() {
		t.Errorf("request: got %v, want an answer", a)
	}
}
