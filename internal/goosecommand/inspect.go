package goosecommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperator"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
)

const defaultLimit = 50

func statusCommand() command {
	return command{
		name: "status", usage: "[--replicas] [--output format]", short: "show instances, data centres, pools and backend servers",
		long: "Shows what the instance knows about the fleet: instances with the configuration version in\nforce there, data centres, and pools with their dispatchers. With --replicas it shows what the\ndispatchers know about the backend servers: limits, work in progress and loads.",
		flags: func(f *flag.FlagSet) runFunc {
			r := addRemoteFlags(f)
			replicas := f.Bool("replicas", false, "show backend servers instead")
			return r.query(func(ctx context.Context, a *App, client *gooseoperator.Client) error {
				if *replicas {
					pools, err := client.Replicas(ctx)
					if err != nil {
						return err
					}
					return a.print(*r.output, pools, func(w io.Writer) { writeReplicas(w, pools) })
				}
				s, err := client.Status(ctx)
				if err != nil {
					return err
				}
				return a.print(*r.output, s, func(w io.Writer) { writeStatus(w, s) })
			})
		},
	}
}

func writeStatus(w io.Writer, s gooseoperator.Status) {
	ready := "ready"
	if s.NotReady != "" {
		ready = "not ready: " + s.NotReady
	}
	fmt.Fprintf(w, "instance %s in %s, version %d, %s, %d requests running\n\n", s.Instance, s.DataCentre, s.Version, ready, s.RequestsInFlight)
	writeRow(w, "INSTANCE", "DATA CENTRE", "VERSION", "LIVE", "STATE", "ADDRESS")
	for _, m := range s.Members {
		state := m.State
		if m.Leaving {
			state = goose.StateLeaving
		}
		writeRow(w, m.Instance, m.DataCentre, m.Version, yesNo(m.Live), state, m.Address)
	}
	fmt.Fprintln(w)
	writeRow(w, "DATA CENTRE", "STATE", "SERVICE", "BACKEND SERVERS", "LEAVING", "DISPATCHER", "MODE")
	for _, dc := range s.DataCentres {
		for _, p := range dc.Pools {
			writeRow(w, dc.Name, dc.State, p.Service, p.BackendServers, p.Leaving, p.Dispatcher, p.Mode)
		}
		if len(dc.Pools) == 0 {
			writeRow(w, dc.Name, dc.State, "", 0, 0, "", "")
		}
	}
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func ordersCommand() command {
	return command{
		name: "orders", usage: "[settle <workspace> <service> <key> --as done|not-run]", short: "list and settle orders",
		long: "Lists orders, those with an unknown outcome by default. 'orders settle' records on your word\nwhether an order of unknown outcome ran: 'done' means that it ran, 'not-run' that it did\n" +
			"not and may run when its caller repeats it.",
		examples: []string{"orders", "orders --state claimed", "orders settle press-room order-book die-7781 --as done"},
		flags: func(f *flag.FlagSet) runFunc {
			r := addRemoteFlags(f)
			state := f.String("state", string(goose.OrderUnknown), "`state` of the orders: claimed, done, not-run, unknown or all")
			limit := f.Int("limit", defaultLimit, "`number` of orders at most")
			as := f.String("as", "", "`outcome` of a settled order: done or not-run")
			author := f.String("author", "", "`name` of who settles (default $USER)")
			return func(ctx context.Context, a *App, args []string) error {
				client, err := r.client(a)
				if err != nil {
					return err
				}
				switch {
				case len(args) == 0:
					return a.orders(ctx, client, *state, *limit, *r.output)
				case args[0] == "settle" && len(args) == 4:
					return a.settle(ctx, client, args[1:], changeFlags{author: author}, goose.OrderState(*as))
				case args[0] == "settle":
					return usagef("give workspace, service and key of the order")
				}
				return usagef("unexpected argument %q", args[0])
			}
		},
	}
}

func (a *App) orders(ctx context.Context, client *gooseoperator.Client, state string, limit int, output string) error {
	if state == "all" {
		state = ""
	}
	orders, err := client.Orders(ctx, goose.OrderState(state), limit)
	if err != nil {
		return err
	}
	return a.print(output, orders, func(w io.Writer) {
		writeRow(w, "WORKSPACE", "SERVICE", "KEY", "STATE", "INSTANCE", "ATTEMPT", "TIME", "SETTLED BY")
		for _, o := range orders {
			writeRow(w, o.Key.Workspace, o.Key.Service, o.Key.Key, o.State, o.Instance, o.Attempt, formatTime(o.Time), o.SettledBy)
		}
	})
}

func (a *App) settle(ctx context.Context, client *gooseoperator.Client, key []string, c changeFlags, outcome goose.OrderState) error {
	if outcome != goose.OrderDone && outcome != goose.OrderNotRun {
		return usagef("give the outcome of the order: --as done or --as not-run")
	}
	author, err := c.authorName(a)
	if err != nil {
		return err
	}
	k := goose.OrderKey{Workspace: goose.WorkspaceName(key[0]), Service: goose.ServiceName(key[1]), Key: key[2]}
	if err := client.Settle(ctx, gooseoperator.SettleRequest{Key: k, State: outcome, Author: author}); err != nil {
		return err
	}
	fmt.Fprintf(a.Stdout, "settled: %s/%s/%s is %s\n", k.Workspace, k.Service, k.Key, outcome)
	return nil
}

func auditCommand() command {
	return command{
		name: "audit", usage: "[--limit number] [--change id]", short: "list published changes and commands",
		long:     "Lists the newest published changes: who changed what, when, and from which version. Commands to\nbackend servers are among them, without a version and with their outcome.",
		examples: []string{"audit --limit 5", "audit --change CHANGE-ID --output yaml"},
		flags: func(f *flag.FlagSet) runFunc {
			r := addRemoteFlags(f)
			limit := f.Int("limit", defaultLimit, "`number` of changes at most")
			id := f.String("change", "", "only the change with this `id`")
			return r.query(func(ctx context.Context, a *App, client *gooseoperator.Client) error {
				entries, err := client.Audit(ctx, *limit, *id)
				if err != nil {
					return err
				}
				return a.print(*r.output, entries, func(w io.Writer) { writeAudit(w, entries) })
			})
		},
	}
}

func writeAudit(w io.Writer, entries []gooseconfig.AuditEntry) {
	writeRow(w, "VERSION", "BASE", "TIME", "AUTHOR", "CHANGE", "SUMMARY")
	for _, e := range entries {
		text := strings.Join(e.Summary[:min(1, len(e.Summary))], "")
		if n := len(e.Summary); n > 1 {
			text += fmt.Sprintf(" (+%d)", n-1)
		}
		if e.Version == 0 {
			writeRow(w, "", "", formatTime(e.Time), e.Author, e.ChangeID, text)
			continue
		}
		writeRow(w, e.Version, e.Base, formatTime(e.Time), e.Author, e.ChangeID, text)
	}
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}
