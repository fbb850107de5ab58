package goosecommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"strconv"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseoperator"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesettings"

	"github.com/pkg/errors"
)

const (
	envOperator = goosesettings.Prefix + "OPERATOR"
	envToken    = goosesettings.Prefix + "OPERATOR_TOKEN"
	defaultWait = 10 * time.Second
	// versionHeader begins the first line that 'get' writes; 'apply' takes the
	// base version from it.
	versionHeader = "# version: "
)

// remote are the flags of commands that call an instance.
type remote struct {
	operator  *string
	tokenFile *string
	output    *string
}

func remoteFlags(f *flag.FlagSet) remote {
	return remote{
		operator:  f.String("operator", "", "`address` of the operator API, host:port (default $"+envOperator+")"),
		tokenFile: f.String("token-file", "", "`file` with the operator token (default $"+envToken+")"),
		output:    outputFlag(f),
	}
}

func (r remote) client(a *App) (*gooseoperator.Client, error) {
	address := *r.operator
	if address == "" {
		address = a.env(envOperator)
	}
	if address == "" {
		return nil, usagef("give the address of an instance's operator API with --operator or %s", envOperator)
	}
	token := a.env(envToken)
	if *r.tokenFile != "" {
		data, err := os.ReadFile(*r.tokenFile)
		if err != nil {
			return nil, errors.Wrap(err, "operator token")
		}
		token = strings.TrimSpace(string(data))
	}
	if token == "" {
		return nil, usagef("give the operator token with --token-file or %s", envToken)
	}
	return gooseoperator.NewClient(address, token)
}

// query returns a command without arguments that asks the instance.
func (r remote) query(ask func(ctx context.Context, a *App, client *gooseoperator.Client) error) run {
	return func(ctx context.Context, a *App, args []string) error {
		if len(args) > 0 {
			return usagef("unexpected argument %q", args[0])
		}
		client, err := r.client(a)
		if err != nil {
			return err
		}
		return ask(ctx, a, client)
	}
}

// change are the flags of commands that change the configuration.
type change struct {
	remote
	author *string
	wait   *time.Duration
}

func changeFlags(f *flag.FlagSet) change {
	return change{
		remote: remoteFlags(f),
		author: f.String("author", "", "`name` in the audit trail (default $USER)"),
		wait:   f.Duration("wait", defaultWait, "how `long` to wait until the version is in force everywhere; 0 does not wait"),
	}
}

func (c change) authorName(a *App) (string, error) {
	for _, n := range []string{*c.author, a.env("USER"), a.env("LOGNAME")} {
		if n != "" {
			return n, nil
		}
	}
	// Containers often have no such variable.
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username, nil
	}
	return "", usagef("give your name with --author")
}

// applied is the result of a change for output.
type applied struct {
	gooseoperator.Applied
	// InForce and Behind name live instances, Silent those not heard from; all
	// are empty if not waited for.
	InForce []goose.InstanceID `json:"in-force"`
	Behind  []goose.InstanceID `json:"behind"`
	Silent  []goose.InstanceID `json:"silent"`
}

// report waits until the version is in force and prints the result.
func (c change) report(ctx context.Context, a *App, client *gooseoperator.Client, result gooseoperator.Applied) error {
	out := applied{Applied: result, InForce: []goose.InstanceID{}, Behind: []goose.InstanceID{}, Silent: []goose.InstanceID{}}
	var waitErr error
	if !result.DryRun && *c.wait > 0 {
		ctx, cancel := context.WithTimeout(ctx, *c.wait)
		defer cancel()
		var s gooseoperator.Status
		s, waitErr = client.InForce(ctx, result.Version)
		for _, m := range s.Members {
			switch {
			case m.Live && m.Version >= result.Version:
				out.InForce = append(out.InForce, m.Instance)
			case m.Live:
				out.Behind = append(out.Behind, m.Instance)
			default:
				out.Silent = append(out.Silent, m.Instance)
			}
		}
	}
	if err := a.print(*c.output, out, func(w io.Writer) { writeApplied(w, out) }); err != nil {
		return err
	}
	if waitErr != nil {
		return errors.Wrapf(waitErr, "version %d is published, but the instance does not tell where it is in force", result.Version)
	}
	if len(out.Behind) > 0 {
		return errors.Errorf("version %d is published, but after %s not yet in force on %s", result.Version, *c.wait, joined(out.Behind))
	}
	return nil
}

func writeApplied(w io.Writer, r applied) {
	for _, line := range r.Summary {
		fmt.Fprintln(w, line)
	}
	switch {
	case r.DryRun && r.Changed:
		fmt.Fprintf(w, "dry run: valid, would replace version %d\n", r.Version)
	case r.DryRun:
		fmt.Fprintf(w, "dry run: valid, same as version %d\n", r.Version)
	case !r.Changed:
		fmt.Fprintf(w, "unchanged: version %d\n", r.Version)
	default:
		fmt.Fprintf(w, "published: version %d\n", r.Version)
	}
	if len(r.InForce) > 0 {
		fmt.Fprintf(w, "in force on: %s\n", joined(r.InForce))
	}
	if len(r.Silent) > 0 {
		fmt.Fprintf(w, "not heard from: %s\n", joined(r.Silent))
	}
}

func joined(ids []goose.InstanceID) string {
	parts := make([]string, len(ids))
	for i, id := range ids {
		parts[i] = string(id)
	}
	return strings.Join(parts, ", ")
}

func applyCommand() command {
	return command{
		name: "apply", usage: "<file> [--dry-run] [--base version]", short: "publish a configuration",
		long: "Publishes a whole configuration and waits until it is in force on every live instance.\n" +
			"It is refused with exit code 3 if another version was published since the base version.\n" +
			"The base is --base, or the version in the first line of a file that 'get' wrote, or the\nversion in force on the instance. A file '-' is read from standard input.",
		examples: []string{"apply fleet.yaml --dry-run", "apply fleet.yaml --author ada", "get > fleet.yaml; $EDITOR fleet.yaml; gooseberryhold apply fleet.yaml"},
		flags: func(f *flag.FlagSet) run {
			c := changeFlags(f)
			dry := f.Bool("dry-run", false, "check and compare without publishing")
			base := f.Int64("base", -1, "`version` that the file was made from")
			return func(ctx context.Context, a *App, args []string) error {
				if len(args) != 1 {
					return usagef("give one configuration file")
				}
				return c.apply(ctx, a, args[0], *base, *dry)
			}
		},
	}
}

func (c change) apply(ctx context.Context, a *App, file string, base int64, dry bool) error {
	author, err := c.authorName(a)
	if err != nil {
		return err
	}
	data, err := a.read(file)
	if err != nil {
		return err
	}
	client, err := c.client(a)
	if err != nil {
		return err
	}
	if base < 0 {
		base = headerVersion(data)
	}
	if base < 0 {
		s, err := client.Status(ctx)
		if err != nil {
			return err
		}
		base = s.Version
	}
	r, err := client.Apply(ctx, gooseoperator.ApplyRequest{
		ChangeID: gooseconfig.NewChangeID(), Author: author, Base: base, DryRun: dry, File: file, Configuration: string(data),
	})
	if err != nil {
		return err
	}
	return c.report(ctx, a, client, r)
}

// headerVersion returns the version in the first line, or -1.
func headerVersion(data []byte) int64 {
	line, _, _ := strings.Cut(string(data), "\n")
	text, ok := strings.CutPrefix(line, versionHeader)
	if !ok {
		return -1
	}
	v, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil {
		return -1
	}
	return v
}

func getCommand() command {
	return command{
		name: "get", usage: "[--output format]", short: "print the configuration in force",
		long:     "Prints the configuration in force on the instance as YAML that 'apply' accepts; its first\nline names the version. With --output json or yaml it also prints who published it and when.",
		examples: []string{"get > fleet.yaml"},
		flags: func(f *flag.FlagSet) run {
			r := remoteFlags(f)
			return r.query(func(ctx context.Context, a *App, client *gooseoperator.Client) error {
				c, err := client.Config(ctx)
				if err != nil {
					return err
				}
				if *r.output == "table" {
					_, err := fmt.Fprintf(a.Stdout, "%s%d\n%s", versionHeader, c.Version, c.Configuration)
					return errors.Wrap(err, "write result")
				}
				return a.print(*r.output, c, nil)
			})
		},
	}
}
