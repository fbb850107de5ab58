package goosecommand

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperator"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosedispatch"
)

// errRefused and errUnknown determine the exit code of a command that was not accepted. The
// outcome itself is printed as the result.
var (
	errRefused = errors.New("the backend server was not commanded")
	errUnknown = errors.New("the outcome is unknown; check 'status --replicas' and 'audit' before you repeat the command")
)

// backendFlags are the flags of commands to backend servers.
type backendFlags struct {
	remoteFlags
	author  *string
	replica *string
	force   *bool
}

func addBackendFlags(f *flag.FlagSet) backendFlags {
	return backendFlags{
		remoteFlags: addRemoteFlags(f),
		author:      f.String("author", "", "`name` in the audit trail (default $USER)"),
		replica:     f.String("replica", "", "`name` of the backend server"),
		force:       f.Bool("force", false, "do not wait until running requests have finished"),
	}
}

func loadCommand() command {
	return command{
		name: "load", usage: "--replica name --model name [--adapter name] [--version version] [--force]", short: "make a backend server load a model or an adapter",
		long: "Makes a backend server load a model, or an adapter on a model. From then on it gets no new\nrequest; its running ones finish first, or the command is refused. After the load it is cold.\n" +
			"The command is refused if the rate of the weight store is used up or the store is down. Prints\n'accepted' once the load has begun, 'refused' if nothing was done (exit code 1), or 'unknown' if\nthe answer was lost (exit code 5).",
		examples: []string{"load --replica leith-engine-3 --model wording-8", "load --replica leith-engine-3 --model wording-8 --adapter seals --version 12"},
		flags: func(f *flag.FlagSet) runFunc {
			o := addBackendFlags(f)
			model := f.String("model", "", "`name` of the model")
			adapter := f.String("adapter", "", "`name` of an adapter for the model")
			version := f.String("version", "", "`version` of the model or adapter (default: the backend server's choice)")
			return func(ctx context.Context, a *App, args []string) error {
				if *model == "" {
					return usagef("give the model with --model")
				}
				q := gooseoperator.CommandRequest{Kind: goose.CommandLoadModel, Name: *model, Version: *version}
				if *adapter != "" {
					q.Kind, q.Name, q.Model = goose.CommandLoadAdapter, *adapter, *model
				}
				return o.send(ctx, a, args, q)
			}
		},
	}
}

func roleCommand() command {
	return command{
		name: "role", usage: "--replica name --role role [--force]", short: "change the role of a backend server",
		long:     "Makes a backend server take a role that it knows, such as prefill or decode. Requests and\noutcomes are as for 'load'; the weight store is not used.",
		examples: []string{"role --replica leith-engine-3 --role prefill"},
		flags: func(f *flag.FlagSet) runFunc {
			o := addBackendFlags(f)
			role := f.String("role", "", "`role` to take")
			return func(ctx context.Context, a *App, args []string) error {
				if *role == "" {
					return usagef("give the role with --role")
				}
				return o.send(ctx, a, args, gooseoperator.CommandRequest{Kind: goose.CommandSetRole, Name: *role})
			}
		},
	}
}

func (o backendFlags) send(ctx context.Context, a *App, args []string, q gooseoperator.CommandRequest) error {
	if len(args) > 0 {
		return usagef("unexpected argument %q", args[0])
	}
	if *o.replica == "" {
		return usagef("give the backend server with --replica")
	}
	var err error
	if q.Author, err = (changeFlags{author: o.author}).authorName(a); err != nil {
		return err
	}
	client, err := o.client(a)
	if err != nil {
		return err
	}
	q.ChangeID, q.Replica, q.Force = gooseconfig.NewChangeID(), goose.ReplicaID(*o.replica), *o.force
	r, err := client.Command(ctx, q)
	if err != nil {
		return err
	}
	err = a.print(*o.output, r, func(w io.Writer) {
		fmt.Fprintln(w, r.CommandResult)
		fmt.Fprintf(w, "%s on %s, change %s\n", r.Command, r.Replica, r.ChangeID)
	})
	switch {
	case err != nil:
		return err
	case r.Outcome == goose.CommandRefused:
		return errRefused
	case r.Outcome == goose.CommandUnknown:
		return errUnknown
	}
	return nil
}

func writeReplicas(w io.Writer, pools []goosedispatch.PoolReport) {
	writeRow(w, "DATA CENTRE", "SERVICE", "BACKEND SERVER", "MODE", "REACHABLE", "STATE", "REQUESTS", "LIMIT", "TOKENS", "LIMIT", "LOAD")
	for _, p := range pools {
		if p.Missing != "" {
			writeRow(w, p.Pool.DataCentre, p.Pool.Service, p.Missing, "", "", "", "", "", "", "", "")
		}
		for _, r := range p.Replicas {
			writeRow(w, p.Pool.DataCentre, p.Pool.Service, r.Replica, p.Mode, yesNo(r.Reachable), replicaState(r), r.Requests, r.Concurrency, r.Tokens, r.TokenLimit, r.Load)
		}
	}
}

// replicaState returns whether a replica is cold, and what it has said about further requests.
func replicaState(r goosedispatch.ReplicaStatus) string {
	state := "warm"
	if r.Cold {
		state = "cold"
	}
	if r.Leaving {
		state += ",leaving"
	}
	if r.Paused {
		state += ",paused"
	}
	return state
}
