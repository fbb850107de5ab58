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
	envOperator = goosesettings.EnvPrefix + "OPERATOR"
	envToken    = goosesettings.EnvPrefix + "OPERATOR_TOKEN"
	defaultWait = 10 * time.Second
	// versionHeader is the prefix of the first line that 'get' writes; 'apply' reads the
	// base version from that line.
	versionHeader = "# version: "
)

// remoteFlags are the flags of commands that call an instance.
type remoteFlags struct {
	operator  *string
	tokenFile *string
	output    *string
}

func addRemoteFlags(f *flag.FlagSet) remoteFlags {
	return remoteFlags{
		operator:  f.String("operator", "", "`address` of the operator API, host:port (default $"+envOperator+")"),
		tokenFile: f.String("token-file", "", "`file` with the operator token (default $"+envToken+")"),
		output:    outputFlag(f),
	}
}

func (r remoteFlags) client(a *App) (*gooseoperator.Client, error) {
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

// query returns the run function of a command without arguments that queries the instance.
func (r remoteFlags) query(queryInstance func(ctx context.Context, a *App, client *gooseoperator.Client) error) runFunc {
	return func(ctx context.Context, a *App, args []string) error {
		if len(args) > 0 {
			return usagef("unexpected argument %q", args[0])
		}
		client, err := r.client(a)
		if err != nil {
			return err
		}
		return queryInstance(ctx, a, client)
	}
}

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	remoteFlags
	author *string
	wait   *time.Duration
}

func addChangeFlags(f *flag.FlagSet) changeFlags {
	return changeFlags{
		remoteFlags: addRemoteFlags(f),
		author:      f.String("author", "", "`name` in the audit trail (default $USER)"),
		wait:        f.Duration("wait", defaultWait, "how `long` to wait until the version is in force everywhere; 0 does not wait"),
	}
}

func (c changeFlags) authorName(a *App) (string, error) {
	for _, n := range []string{*c.author, a.env("USER"), a.env("LOGNAME")} {
		if n != "" {
			return n, nil
		}
	}
	// Neither variable is set in many containers.
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username, nil
	}
	return "", usagef("give your name with --author")
}

// changeOutput is the result of a change as it is printed.
type changeOutput struct {
	gooseoperator.ChangeResult
	// InForce and Behind list the live instances that use the version and those that do not
	// use it yet. Silent lists the instances without recent heartbeats. All three are empty
	// if the command did not wait.
	InForce []goose.InstanceID `json:"in-force"`
	Behind  []goose.InstanceID `json:"behind"`
	Silent  []goose.InstanceID `json:"silent"`
}

// waitAndPrint waits until the version is in force everywhere, or until the wait time has
// passed, and prints the result.
func (c changeFlags) waitAndPrint(ctx context.Context, a *App, client *gooseoperator.Client, result gooseoperator.ChangeResult) error {
	out := changeOutput{ChangeResult: result, InForce: []goose.InstanceID{}, Behind: []goose.InstanceID{}, Silent: []goose.InstanceID{}}
	var waitErr error
	if !result.DryRun && *c.wait > 0 {
		ctx, cancel := context.WithTimeout(ctx, *c.wait)
		defer cancel()
		var s gooseoperator.Status
		s, waitErr = client.WaitInForce(ctx, result.Version)
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
	if err := a.print(*c.output, out, func(w io.Writer) { writeChange(w, out) }); err != nil {
		return err
	}
	if waitErr != nil {
		return errors.Wrapf(waitErr, "version %d is published, but the instance does not report where it is in force", result.Version)
	}
	if len(out.Behind) > 0 {
		return errors.Errorf("version %d is published, but after %s not yet in force on %s", result.Version, *c.wait, joinIDs(out.Behind))
	}
	return nil
}

func writeChange(w io.Writer, r changeOutput) {
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
		fmt.Fprintf(w, "in force on: %s\n", joinIDs(r.InForce))
	}
	if len(r.Silent) > 0 {
		fmt.Fprintf(w, "not heard from: %s\n", joinIDs(r.Silent))
	}
}

func joinIDs(ids []goose.InstanceID) string {
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
		flags: func(f *flag.FlagSet) runFunc {
			c := addChangeFlags(f)
			dryRun := f.Bool("dry-run", false, "check and compare without publishing")
			base := f.Int64("base", -1, "`version` that the file was made from")
			return func(ctx context.Context, a *App, args []string) error {
				if len(args) != 1 {
					return usagef("give one configuration file")
				}
				return c.apply(ctx, a, args[0], *base, *dryRun)
			}
		},
	}
}

func (c changeFlags) apply(ctx context.Context, a *App, file string, base int64, dryRun bool) error {
	author, err := c.authorName(a)
	if err != nil {
		return err
	}
	data, err := a.readInput(file)
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
		ChangeID: gooseconfig.NewChangeID(), Author: author, Base: base, DryRun: dryRun, File: file, Configuration: string(data),
	})
	if err != nil {
		return err
	}
	return c.waitAndPrint(ctx, a, client, r)
}

// headerVersion returns the version in the first line of data, or -1 if it has none.
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
		flags: func(f *flag.FlagSet) runFunc {
			r := addRemoteFlags(f)
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
