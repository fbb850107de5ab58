package goosecommand

import (
	"context"
	"flag"
	"slices"
	"strings"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperator"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
)

func labelCommand() command {
	return command{
		name: "label", usage: "<kind>/<name> <label>=<value>... <label>-...", short: "set and remove labels of an object",
		long:     "Sets labels of an object (name=value) and removes others (name-). Kinds: data-centre,\ninstance, backend-server, service, workspace.",
		examples: []string{"label backend-server/leith-engine-3 pilot=yes", "label workspace/press-room may-order-"},
		flags: func(f *flag.FlagSet) runFunc {
			c := addChangeFlags(f)
			return func(ctx context.Context, a *App, args []string) error {
				o, rest, err := parseObject(args, gooseconfig.ObjectKinds())
				if err != nil {
					return err
				}
				q := gooseoperator.LabelRequest{Object: o, Set: goose.Labels{}}
				if err := parseLabels(&q, rest); err != nil {
					return err
				}
				return c.label(ctx, a, q)
			}
		},
	}
}

func parseLabels(q *gooseoperator.LabelRequest, args []string) error {
	if len(args) == 0 {
		return usagef("give at least one label, as name=value or name-")
	}
	for _, s := range args {
		name, value, isSet := strings.Cut(s, "=")
		if !isSet {
			var isRemove bool
			if name, isRemove = strings.CutSuffix(s, "-"); !isRemove {
				return usagef("%q is not a label; write name=value to set it or name- to remove it", s)
			}
		}
		if name == "" {
			return usagef("%q has no label name", s)
		}
		if _, ok := q.Set[name]; ok || slices.Contains(q.Remove, name) {
			return usagef("label %q is given twice", name)
		}
		if isSet {
			q.Set[name] = value
		} else {
			q.Remove = append(q.Remove, name)
		}
	}
	return nil
}

func leaveCommand() command {
	return stateCommand(command{
		name: "leave", short: "take a data centre, instance or backend server out of service",
		long:     "Takes an object out of service: it gets no new work after a few seconds, and running work\nfinishes. Kinds: data-centre, instance, backend-server.",
		examples: []string{"leave data-centre/leith", "leave backend-server/leith-engine-3"},
	}, goose.StateLeaving)
}

func returnCommand() command {
	return stateCommand(command{
		name: "return", short: "bring a data centre, instance or backend server back",
		long:     "Brings an object back into service. Kinds: data-centre, instance, backend-server.",
		examples: []string{"return data-centre/leith"},
	}, goose.StateActive)
}

func stateCommand(c command, state goose.AdminState) command {
	c.usage = "<kind>/<name>"
	c.flags = func(f *flag.FlagSet) runFunc {
		flags := addChangeFlags(f)
		return func(ctx context.Context, a *App, args []string) error {
			kinds := []gooseconfig.ObjectKind{gooseconfig.ObjectDataCentre, gooseconfig.ObjectInstance, gooseconfig.ObjectBackendServer}
			o, rest, err := parseObject(args, kinds)
			if err != nil {
				return err
			}
			if len(rest) > 0 {
				return usagef("unexpected argument %q", rest[0])
			}
			return flags.label(ctx, a, gooseoperator.LabelRequest{Object: o, State: state})
		}
	}
	return c
}

func (c changeFlags) label(ctx context.Context, a *App, q gooseoperator.LabelRequest) error {
	var err error
	if q.Author, err = c.authorName(a); err != nil {
		return err
	}
	client, err := c.client(a)
	if err != nil {
		return err
	}
	q.ChangeID = gooseconfig.NewChangeID()
	r, err := client.Label(ctx, q)
	if err != nil {
		return err
	}
	return c.waitAndPrint(ctx, a, client, r)
}

// parseObject parses "kind/name" or "kind name" and returns the remaining arguments.
func parseObject(args []string, kinds []gooseconfig.ObjectKind) (gooseconfig.Object, []string, error) {
	if len(args) == 0 {
		return gooseconfig.Object{}, nil, usagef("give an object, as kind/name")
	}
	kind, name, ok := strings.Cut(args[0], "/")
	rest := args[1:]
	if !ok && len(rest) > 0 {
		name, rest = rest[0], rest[1:]
	}
	if !slices.Contains(kinds, gooseconfig.ObjectKind(kind)) {
		return gooseconfig.Object{}, nil, usagef("%q is not one of the kinds %v", kind, kinds)
	}
	if name == "" {
		return gooseconfig.Object{}, nil, usagef("give the name of the %s, as %s/name", kind, kind)
	}
	return gooseconfig.Object{Kind: gooseconfig.ObjectKind(kind), Name: name}, rest, nil
}
