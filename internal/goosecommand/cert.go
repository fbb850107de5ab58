package goosecommand

import (
	"context"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"net"
	"strings"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosecert"

	"github.com/pkg/errors"
)

const (
	day               = 24 * time.Hour
	authorityValidity = 10 * 365 * day
	instanceValidity  = 365 * day
)

type certFlags struct {
	certificate, key        *string
	authority, authorityKey *string
	fleet, addresses        *string
	valid                   *time.Duration
	force                   *bool
	output                  *string
}

func certCommand() command {
	return command{
		name: "cert", usage: "authority | instance <name> | show <file>", short: "make and show certificates of instances",
		long: "Makes the fleet's certificate authority and the certificates with which instances prove their\nnames to each other. Keys are written readable by their owner alone; nothing is overwritten\n" +
			"without --force.",
		examples: []string{
			"cert authority --fleet drummond-kerr --certificate authority.pem --key authority.key",
			"cert instance leith-entry-1 --address 127.0.0.1 --authority authority.pem --authority-key authority.key",
			"cert show leith-entry-1.pem",
		},
		flags: func(f *flag.FlagSet) runFunc {
			c := certFlags{
				certificate:  f.String("certificate", "", "`file` to write (default authority.pem or <name>.pem)"),
				key:          f.String("key", "", "`file` to write (default authority.key or <name>.key)"),
				authority:    f.String("authority", "authority.pem", "`file` with the authority's certificate"),
				authorityKey: f.String("authority-key", "authority.key", "`file` with the authority's key"),
				fleet:        f.String("fleet", "gooseberryhold", "`name` of the fleet in the authority's certificate"),
				addresses:    f.String("address", "", "IP `addresses` of the instance, separated by commas"),
				valid:        f.Duration("valid", 0, "how `long` the certificate is valid (default 87600h for an authority, 8760h for an instance)"),
				force:        f.Bool("force", false, "overwrite files"),
				output:       outputFlag(f),
			}
			return c.run
		},
	}
}

func (c certFlags) run(_ context.Context, a *App, args []string) error {
	subcommand, rest := "", args
	if len(args) > 0 {
		subcommand, rest = args[0], args[1:]
	}
	argumentCounts := map[string]int{"authority": 0, "instance": 1, "show": 1}
	n, ok := argumentCounts[subcommand]
	if !ok {
		return usagef("give a subcommand: authority, instance or show")
	}
	if len(rest) != n {
		return usagef("cert %s takes %d arguments, not %d", subcommand, n, len(rest))
	}
	if *c.valid < 0 {
		return usagef("--valid must be above zero")
	}
	switch subcommand {
	case "authority":
		return c.newAuthority(a)
	case "instance":
		return c.newInstance(a, rest[0])
	}
	return c.show(a, rest[0])
}

func (c certFlags) newAuthority(a *App) error {
	p, err := goosecert.NewAuthority(*c.fleet, time.Now(), orDefault(*c.valid, authorityValidity))
	if err != nil {
		return err
	}
	return c.write(a, p, "authority")
}

func (c certFlags) newInstance(a *App, name string) error {
	if !goose.ValidName(name) {
		return usagef("%q is not a name: %s", name, goose.NameRule)
	}
	var ips []net.IP
	for s := range strings.SplitSeq(*c.addresses, ",") {
		if s = strings.TrimSpace(s); s == "" {
			continue
		}
		ip := net.ParseIP(s)
		if ip == nil {
			return usagef("--address: %q is not an IP address", s)
		}
		ips = append(ips, ip)
	}
	authority, err := goosecert.Read(*c.authority, *c.authorityKey)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	p, err := goosecert.NewInstanceCertificate(authority, goose.InstanceID(name), ips, time.Now(), orDefault(*c.valid, instanceValidity))
	if err != nil {
		return err
	}
	return c.write(a, p, name)
}

func (c certFlags) write(a *App, p goosecert.KeyPair, name string) error {
	certificate, key := orDefault(*c.certificate, name+".pem"), orDefault(*c.key, name+".key")
	err := p.Write(certificate, key, *c.force)
	if errors.Is(err, fs.ErrExist) {
		return errors.Errorf("%v; nothing was written; use --force to overwrite", err)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(a.Stdout, "wrote %s and %s\n", certificate, key)
	return nil
}

func (c certFlags) show(a *App, file string) error {
	info, err := goosecert.Inspect(file)
	if err != nil {
		return err
	}
	return a.print(*c.output, info, func(w io.Writer) {
		writeRow(w, "NAME", "ISSUER", "DNS NAMES", "ADDRESSES", "FROM", "UNTIL")
		writeRow(w, info.Name, info.Issuer, strings.Join(info.DNSNames, ","), strings.Join(info.Addresses, ","), formatTime(info.NotBefore), formatTime(info.NotAfter))
	})
}

func orDefault[T comparable](v, defaultValue T) T {
	var zero T
	if v == zero {
		return defaultValue
	}
	return v
}
