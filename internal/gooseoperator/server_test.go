package gooseoperator_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperator"
	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperatortest"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseload"

	"github.com/pkg/errors"
)

const fleet = `services:
  - {name: job-desk, kind: plain, idempotent: false, deadline: 10s}
workspaces:
  - {name: press-room, key-hashes: ["0000000000000000000000000000000000000000000000000000000000000001"]}
data-centres:
  - {name: kochi-a}
  - {name: kochi-b}
backend-servers:
  - {name: job-1, service: job-desk, data-centre: kochi-a, address: "127.0.0.1:9001", concurrency: 4, cold-concurrency: 1}
`

func TestMain(m *testing.M) {
	gooseoperatortest.RegisterProtocols()
	os.Exit(m.Run())
}

type instance struct {
	*gooseoperatortest.Instance
	client *gooseoperator.Client
}

func start(t *testing.T) *instance {
	t.Helper()
	i, err := gooseoperatortest.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := i.Stop(); err != nil {
			t.Error(err)
		}
	})
	return &instance{Instance: i, client: client(t, i.Address)}
}

func client(t *testing.T, address string) *gooseoperator.Client {
	t.Helper()
	c, err := gooseoperator.NewClient(address, gooseoperatortest.Token)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (i *instance) apply(t *testing.T, id string, base int64, yaml string) (gooseoperator.ChangeResult, error) {
	t.Helper()
	return i.client.Apply(t.Context(), gooseoperator.ApplyRequest{ChangeID: id, Author: "ada", Base: base, File: "fleet.yaml", Configuration: yaml})
}

// Guards against operator calls without the token, and against health probes that
// require one.
func TestAuthentication(t *testing.T) {
	t.Parallel()
	i := start(t)
	tests := map[string]struct {
		path, header string
		want         int
	}{
		"no token":               {"/operator/status", "", 401},
		"wrong token":            {"/operator/status", "Bearer type-hig", 401},
		"wrong scheme":           {"/operator/audit", "Basic " + gooseoperatortest.Token, 401},
		"token":                  {"/operator/status", "Bearer " + gooseoperatortest.Token, 200},
		"unknown path":           {"/operator/nothing", "Bearer " + gooseoperatortest.Token, 404},
		"health":                 {"/healthz", "", 200},
		"not ready":              {"/readyz", "", 503},
		"metrics":                {"/metrics", "", 200},
		"bad limit":              {"/operator/audit?limit=0", "Bearer " + gooseoperatortest.Token, 400},
		"unknown state":          {"/operator/orders?state=lost", "Bearer " + gooseoperatortest.Token, 400},
		"unknown change":         {"/operator/audit?change=x", "Bearer " + gooseoperatortest.Token, 404},
		"API root without token": {"/operator", "", 401},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+i.Address+tt.path, nil)
			q.Header.Set("Authorization", tt.header)
			resp, err := http.DefaultClient.Do(q)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != tt.want {
				t.Errorf("got %d, want %d", resp.StatusCode, tt.want)
			}
		})
	}
}

// Guards against changes that are lost, published in spite of a conflict or an
// error, or reported with the wrong outcome.
func TestApply(t *testing.T) {
	t.Parallel()
	i := start(t)
	changed := strings.Replace(fleet, "concurrency: 4", "concurrency: 5", 1)
	steps := []struct {
		id, yaml string
		base     int64
		code     goose.RefusalCode
		want     gooseoperator.ChangeResult
	}{
		{"one", fleet, 0, "", gooseoperator.ChangeResult{Version: 1, Changed: true}},
		{"one", fleet, 0, "", gooseoperator.ChangeResult{Version: 1, Changed: true}}, // repeated
		{"two", fleet, 1, "", gooseoperator.ChangeResult{Version: 1}},                // same content
		{"three", changed, 0, goose.CodeConflict, gooseoperator.ChangeResult{}},
		{"four", "services: 1", 1, goose.CodeBadRequest, gooseoperator.ChangeResult{}},
		{"", changed, 1, goose.CodeBadRequest, gooseoperator.ChangeResult{}},
		{"five", changed, 1, "", gooseoperator.ChangeResult{Version: 2, Changed: true}},
	}
	for n, s := range steps {
		a, err := i.apply(t, s.id, s.base, s.yaml)
		var apiErr *gooseoperator.APIError
		if errors.As(err, &apiErr); (apiErr == nil) != (s.code == "") || apiErr != nil && apiErr.Code != s.code {
			t.Fatalf("step %d: got %v, want code %q", n, err, s.code)
		}
		if a.Version != s.want.Version || a.Changed != s.want.Changed {
			t.Errorf("step %d: got %+v, want %+v", n, a, s.want)
		}
	}
	c, err := i.client.Config(t.Context())
	if err != nil || c.Version != 2 || c.Author != "ada" || !strings.Contains(c.Configuration, "concurrency: 5") {
		t.Errorf("got %+v, %v, want version 2 by ada with concurrency 5", c, err)
	}
	i.Store.SetDown(true)
	_, err = i.client.Label(t.Context(), gooseoperator.LabelRequest{ChangeID: "six", Author: "ada", Object: gooseconfig.Object{Kind: "data-centre", Name: "kochi-a"}, State: goose.StateLeaving})
	var apiErr *gooseoperator.APIError
	if !errors.As(err, &apiErr) || apiErr.Code != goose.CodeStoreUnavailable || apiErr.Run != goose.RunStateNotRun {
		t.Errorf("with the store down: got %v, want %s, not-run", err, goose.CodeStoreUnavailable)
	}
}

// Guards against concurrent label changes that overwrite each other.
func TestLabelRace(t *testing.T) {
	t.Parallel()
	i := start(t)
	if _, err := i.apply(t, "one", 0, fleet); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	for n := range 8 {
		wg.Go(func() {
			q := gooseoperator.LabelRequest{
				ChangeID: fmt.Sprintf("label-%d", n), Author: "bo",
				Object: gooseconfig.Object{Kind: "workspace", Name: "press-room"}, Set: goose.Labels{fmt.Sprintf("l%d", n): "x"},
			}
			if _, err := i.client.Label(t.Context(), q); err != nil {
				t.Errorf("label %d: %v", n, err)
			}
		})
	}
	wg.Wait()
	c, err := i.client.Config(t.Context())
	if err != nil || c.Version != 9 {
		t.Fatalf("got version %d, %v, want 9", c.Version, err)
	}
	for n := range 8 {
		if !strings.Contains(c.Configuration, fmt.Sprintf("l%d: x", n)) {
			t.Errorf("label l%d is lost", n)
		}
	}
}

// Guards against an order that is settled twice or under a wrong state.
func TestOrders(t *testing.T) {
	t.Parallel()
	i := start(t)
	orders, err := i.client.Orders(t.Context(), goose.OrderUnknown, 10)
	if err != nil || len(orders) != 1 {
		t.Fatalf("got %d orders, %v, want 1", len(orders), err)
	}
	for n, s := range []struct {
		state goose.OrderState
		code  goose.RefusalCode
	}{{goose.OrderClaimed, goose.CodeBadRequest}, {goose.OrderDone, ""}, {goose.OrderNotRun, goose.CodeConflict}} {
		err := i.client.Settle(t.Context(), gooseoperator.SettleRequest{Key: orders[0].Key, State: s.state, Author: "ada"})
		var apiErr *gooseoperator.APIError
		if errors.As(err, &apiErr); (apiErr == nil) != (s.code == "") || apiErr != nil && apiErr.Code != s.code {
			t.Errorf("step %d: got %v, want code %q", n, err, s.code)
		}
	}
}

// Guards against error responses to read-only calls that say that nothing was changed, and
// against error responses to changes that do not say it.
func TestStoreDown(t *testing.T) {
	t.Parallel()
	i := start(t)
	if _, err := i.apply(t, "one", 0, fleet); err != nil {
		t.Fatal(err)
	}
	i.Store.SetDown(true)
	i.OrdersUnavailable.Store(true)
	tests := map[string]struct {
		call           func() error
		mentionsChange bool
	}{
		"orders": {func() error { _, err := i.client.Orders(t.Context(), "", 10); return err }, false},
		"audit":  {func() error { _, err := i.client.Audit(t.Context(), 10, ""); return err }, false},
		"apply": {func() error {
			_, err := i.apply(t, "two", 1, strings.Replace(fleet, "concurrency: 4", "concurrency: 5", 1))
			return err
		}, true},
	}
	for name, tt := range tests {
		var apiErr *gooseoperator.APIError
		if err := tt.call(); !errors.As(err, &apiErr) || apiErr.Code != goose.CodeStoreUnavailable {
			t.Errorf("%s: got %v, want code %s", name, err, goose.CodeStoreUnavailable)
		} else if got := strings.Contains(apiErr.Message, "nothing was changed"); got != tt.mentionsChange {
			t.Errorf("%s: got message %q, want mention of the change %t", name, apiErr.Message, tt.mentionsChange)
		}
	}
}

// Guards against a change that is sent twice when its response is lost, and against a
// change that is reported as failed although it took effect.
func TestLostResponse(t *testing.T) {
	t.Parallel()
	i := start(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var puts atomic.Int32
	go forwardConnections(l, i.Address, "PUT", &puts)
	a, err := client(t, l.Addr().String()).Apply(t.Context(), gooseoperator.ApplyRequest{ChangeID: "one", Author: "ada", File: "f", Configuration: fleet})
	if err != nil || a.Version != 1 || puts.Load() != 1 {
		t.Errorf("got %+v, %v after %d requests, want version 1 after one", a, err, puts.Load())
	}
}

// forwardConnections forwards connections to the address to, but drops the responses to
// requests with the method lostMethod and counts these requests.
func forwardConnections(l net.Listener, to, lostMethod string, count *atomic.Int32) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = client.Close() }()
			server, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			defer func() { _ = server.Close() }()
			method := make([]byte, len(lostMethod))
			if _, err := io.ReadFull(client, method); err != nil {
				return
			}
			_, _ = server.Write(method)
			go func() { _, _ = io.Copy(server, client) }()
			if string(method) == lostMethod {
				count.Add(1)
				_, _ = io.Copy(io.Discard, server)
				return
			}
			_, _ = io.Copy(client, server)
		}()
	}
}

// Guards against a command that is sent twice, against a command that is reported as
// refused although it may have run, and against a command that is reported as unknown
// although its response was lost and its outcome is in the audit trail.
func TestCommandOutcomes(t *testing.T) {
	t.Parallel()
	unknown := goose.CommandResult{Outcome: goose.CommandUnknown, Reason: "the response of dispatcher x was lost"}
	accepted := goose.CommandResult{Outcome: goose.CommandAccepted}
	refused := goose.RefusedCommand("requests run on it")
	tests := map[string]struct {
		replica  goose.ReplicaID
		name     string
		lost     bool
		result   goose.CommandResult
		recorded goose.CommandResult
		want     goose.CommandResult
		code     goose.RefusalCode
	}{
		"accepted":                     {result: accepted, want: accepted},
		"refused":                      {result: refused, want: refused},
		"unknown":                      {result: unknown, recorded: unknown, want: unknown},
		"unknown, recorded as refused": {result: unknown, recorded: refused, want: refused},
		"response lost, accepted":      {lost: true, result: accepted, recorded: accepted, want: accepted},
		"response lost, refused":       {lost: true, result: refused, recorded: refused, want: refused},
		"response lost, unknown":       {lost: true, result: unknown, recorded: unknown, want: unknown},
		"unknown backend server":       {replica: "job-9", code: goose.CodeNotFound},
		"name with a space":            {name: "wording 8", code: goose.CodeBadRequest},
		"name too long":                {name: strings.Repeat("x", 201), code: goose.CodeBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			i := start(t)
			if _, err := i.apply(t, "one", 0, fleet); err != nil {
				t.Fatal(err)
			}
			i.CommandResult.Store(&tt.result)
			i.CommandRecords.Store(&[]gooseload.Record{{ID: "c1", Author: "ada", Result: tt.recorded}})
			c := i.client
			var sent atomic.Int32
			if tt.lost {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = l.Close() }()
				go forwardConnections(l, i.Address, "POST", &sent)
				c = client(t, l.Addr().String())
			}
			q := gooseoperator.CommandRequest{ChangeID: "c1", Author: "ada", Replica: "job-1", Kind: goose.CommandLoadModel, Name: "wording-8"}
			if tt.replica != "" {
				q.Replica = tt.replica
			}
			if tt.name != "" {
				q.Name = tt.name
			}
			got, err := c.Command(t.Context(), q)
			var apiErr *gooseoperator.APIError
			if errors.As(err, &apiErr); (apiErr == nil) != (tt.code == "") || apiErr != nil && apiErr.Code != tt.code {
				t.Fatalf("got %v, want code %q", err, tt.code)
			}
			if got.CommandResult != tt.want {
				t.Errorf("got %s, want %s", got.CommandResult, tt.want)
			}
			if want := map[bool]int32{true: 1}[tt.lost]; sent.Load() != want {
				t.Errorf("requests with a lost response: got %d, want %d", sent.Load(), want)
			}
		})
	}
}

// Guards against commands that are missing from the audit trail or are not sorted by their
// time, and against changes that are not sorted by their version.
func TestAuditTrailContainsCommands(t *testing.T) {
	t.Parallel()
	i := start(t)
	for n := range 3 {
		yaml := strings.Replace(fleet, "concurrency: 4", fmt.Sprint("concurrency: ", 4+n), 1)
		if _, err := i.apply(t, fmt.Sprint("change-", n), int64(n), yaml); err != nil {
			t.Fatal(err)
		}
	}
	record := func(id string, age time.Duration) gooseload.Record {
		return gooseload.Record{
			ID: id, Author: "bo", Time: time.Now().Add(-age), Replica: "job-1", Force: true,
			Command: goose.Command{Kind: goose.CommandLoadAdapter, Name: "seals", Model: "wording-8", Version: "12"},
			Result:  goose.RefusedCommand("it does not answer"),
		}
	}
	i.CommandRecords.Store(&[]gooseload.Record{record("new", -time.Hour), record("old", time.Hour)})
	for limit, want := range map[int]string{9: "new change-2 change-1 change-0 old", 2: "new change-2"} {
		all, err := i.client.Audit(t.Context(), limit, "")
		var got []string
		for _, a := range all {
			got = append(got, a.ChangeID)
		}
		if err != nil || strings.Join(got, " ") != want {
			t.Errorf("limit %d: got %v, %v; want %s", limit, got, err, want)
		}
	}
	one, err := i.client.Audit(t.Context(), 1, "old")
	want := "load-adapter seals on wording-8 version 12 on backend-server/job-1, forced: refused: it does not answer"
	if err != nil || len(one) != 1 || len(one[0].Summary) != 1 || one[0].Summary[0] != want || one[0].Outcome != "refused" {
		t.Errorf("got %+v, %v; want %q", one, err, want)
	}
}

// Guards against a version that is reported as in force everywhere while an instance
// still uses an older one.
func TestInForce(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		lag  int64
		wait time.Duration // Time limit of the polling; the first case ends earlier.
		want int
	}{
		"in force":        {lag: 0, wait: time.Minute, want: 0},
		"instance behind": {lag: 1, wait: 2 * time.Second, want: 1},
	}
	for name, tt := range tests {
		i := start(t)
		i.VersionLag.Store(tt.lag)
		if _, err := i.apply(t, "one", 0, fleet); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), tt.wait)
		defer cancel()
		s, err := i.client.WaitInForce(ctx, 1)
		if got := len(gooseoperator.MembersBehind(s, 1)); err != nil || got != tt.want {
			t.Errorf("%s: got %d behind, %v, want %d", name, got, err, tt.want)
		}
	}
}
