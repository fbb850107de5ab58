package gooseproof

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a status that shows no running requests while some run. Operators would
// then stop an instance too early.
func TestStatusCountsRunningRequests(t *testing.T) {
	f := newTestFleet(t)
	i := f.Instances[0]
	running := func() (int, error) {
		var s struct {
			Running int `json:"running"`
		}
		out, err := f.RunOperatorCommandAt(f.ctx, i.Name, "status", "--output", "json")
		if err != nil {
			return 0, err
		}
		err = errors.Wrap(json.Unmarshal([]byte(out), &s), "status")
		return s.Running, err
	}
	done := make(chan response, 1)
	go func() { done <- f.generate(i.Caller, "status", 1000, 4000) }()
	f.eventually("a running request", 30*time.Second, func() error {
		n, err := running()
		if err == nil && n == 0 {
			err = errors.New("got 0 running requests, want 1")
		}
		return err
	})
	if res := <-done; !res.served() {
		t.Errorf("request: got %v, want it served", res)
	}
}
