package goosecommand

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosecheck"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosesettings"
	gooseplatform "github.com/gooseberryhold/gooseberryhold/platform"
)

// checkResult describes one file. A file with a finding of severity error is invalid.
type checkResult struct {
	File           string `json:"file"`
	Kind           string `json:"kind"`
	Version        int64  `json:"version,omitempty"`
	Routes         int    `json:"routes,omitempty"`
	Services       int    `json:"services,omitempty"`
	Workspaces     int    `json:"workspaces,omitempty"`
	DataCentres    int    `json:"data-centres,omitempty"`
	BackendServers int    `json:"backend-servers,omitempty"`
	Selectors      int    `json:"selectors,omitempty"`
	// Findings are errors and warnings, in the order of the file.
	Findings []goosecheck.Finding `json:"findings,omitempty"`
	// Differences are the changes from the version in force; nil if it was not given.
	Differences *[]string `json:"differences,omitempty"`
}

// setDifferences makes an empty list differ from none in the formats for programs.
func (c *checkResult) setDifferences(lines []string) {
	all := append([]string{}, lines...)
	c.Differences = &all
}

// checkOptions are the flags of the command check.
type checkOptions struct {
	settings, routing, inForce, output string
	strict                             bool
}

func checkCommand() command {
	return command{
		name: "check", usage: "[file...] [--settings file] [--routing file] [--in-force file] [--strict] [--output format]",
		short: "check files without an instance",
		long: "Checks configuration files, a settings file with the overrides of the environment, and a\nrouting, which is the value of the key op/config on the users' platform. It lists errors, and\n" +
			"warns of entries that can never match and of limits that contradict each other. With\n--in-force it lists the differences from the version in force, for example from the output of\n'get'. A file '-' is read from standard input. Errors, and warnings with --strict, give exit\ncode 1.",
		examples: []string{"check fleet.yaml", "check --settings leith-entry-1.yaml", "check --routing op-config.json --in-force op-config-now.json --output json"},
		flags: func(f *flag.FlagSet) runFunc {
			var o checkOptions
			f.StringVar(&o.settings, "settings", "", "settings `file` to check")
			f.StringVar(&o.routing, "routing", "", "routing `file` to check")
			f.StringVar(&o.inForce, "in-force", "", "`file` with the version in force, to compare with")
			f.BoolVar(&o.strict, "strict", false, "fail if there are warnings")
			output := outputFlag(f)
			return func(_ context.Context, a *App, args []string) error {
				o.output = *output
				compared := len(args)
				if o.routing != "" {
					compared++
				}
				switch {
				case compared == 0 && o.settings == "":
					return usagef("give a configuration file, --settings or --routing")
				case o.inForce != "" && compared != 1:
					return usagef("--in-force compares with one configuration or routing; got %d", compared)
				}
				return a.check(args, o)
			}
		},
	}
}

// check checks the files and prints a result for each of them. With the format "table" it prints
// no results if a file is invalid, as the error lists everything that is wrong.
func (a *App) check(files []string, o checkOptions) error {
	var results []checkResult
	var problems gooseyaml.InvalidError
	add := func(c checkResult, err error) error {
		var invalid *gooseyaml.InvalidError
		switch {
		case errors.As(err, &invalid):
			problems.Problems = append(problems.Problems, invalid.Problems...)
			c.Findings = append(c.Findings, invalidFindings(invalid)...)
		case err != nil:
			return err
		}
		results = append(results, c)
		return nil
	}
	if o.settings != "" {
		_, err := goosesettings.Load(o.settings, a.Environ)
		if err := add(checkResult{File: o.settings, Kind: kindSettings}, err); err != nil {
			return err
		}
	}
	for _, f := range files {
		if err := add(a.checkConfiguration(f, o.inForce)); err != nil {
			return err
		}
	}
	if o.routing != "" {
		if err := add(a.checkRouting(o.routing, o.inForce)); err != nil {
			return err
		}
	}
	return a.reportCheck(results, &problems, o)
}

func (a *App) reportCheck(results []checkResult, problems *gooseyaml.InvalidError, o checkOptions) error {
	warnings := 0
	for _, c := range results {
		for _, f := range c.Findings {
			if f.Severity == goosecheck.SeverityWarning {
				warnings++
			}
		}
	}
	if len(problems.Problems) == 0 || o.output != "table" {
		if err := a.print(o.output, results, func(w io.Writer) { writeCheck(w, results) }); err != nil {
			return err
		}
	}
	switch {
	case len(problems.Problems) > 0:
		return problems
	case o.strict && warnings > 0:
		return errors.Errorf("%d warnings", warnings)
	}
	return nil
}

func writeCheck(w io.Writer, results []checkResult) {
	for _, c := range results {
		switch c.Kind {
		case kindSettings:
			fmt.Fprintf(w, "%s: valid settings\n", c.File)
		case kindRouting:
			fmt.Fprintf(w, "%s: valid; version %d, routes %d, services %d, workspaces %d\n", c.File, c.Version, c.Routes, c.Services, c.Workspaces)
		default:
			fmt.Fprintf(w, "%s: valid; services %d, workspaces %d, data centres %d, backend servers %d, selectors %d\n",
				c.File, c.Services, c.Workspaces, c.DataCentres, c.BackendServers, c.Selectors)
		}
		for _, f := range c.Findings {
			fmt.Fprintf(w, "%s: %s\n", c.File, f)
		}
		if c.Differences == nil {
			continue
		}
		if len(*c.Differences) == 0 {
			fmt.Fprintf(w, "%s: no difference from the version in force\n", c.File)
		}
		for _, d := range *c.Differences {
			fmt.Fprintf(w, "%s: difference: %s\n", c.File, d)
		}
	}
}

// Kinds of files.
const (
	kindSettings      = "settings"
	kindRouting       = "routing"
	kindConfiguration = "configuration"
)

// invalidFindings returns the problems of a file as findings.
func invalidFindings(e *gooseyaml.InvalidError) []goosecheck.Finding {
	var found []goosecheck.Finding
	for _, p := range e.Problems {
		found = append(found, goosecheck.Finding{Severity: goosecheck.SeverityError, Setting: p.Setting, Message: p.Message})
	}
	return found
}

func (a *App) checkConfiguration(file, inForce string) (checkResult, error) {
	result := checkResult{File: file, Kind: kindConfiguration}
	data, err := a.readInput(file)
	if err != nil {
		return result, err
	}
	c, err := gooseconfig.Parse(file, data)
	if err != nil {
		return result, err
	}
	result.Services, result.Workspaces, result.DataCentres = len(c.Services), len(c.Workspaces), len(c.DataCentres)
	result.BackendServers, result.Selectors = len(c.BackendServers), len(c.Selectors)
	result.Findings = goosecheck.Configuration(c)
	if inForce == "" {
		return result, nil
	}
	if data, err = a.readInput(inForce); err != nil {
		return result, err
	}
	old, err := gooseconfig.Parse(inForce, data)
	if err != nil {
		return result, err
	}
	result.setDifferences(gooseconfig.Summary(old, c))
	return result, nil
}

func (a *App) checkRouting(file, inForce string) (checkResult, error) {
	result := checkResult{File: file, Kind: kindRouting}
	data, err := a.readInput(file)
	if err != nil {
		return result, err
	}
	r, found := gooseplatform.CheckRouting(data)
	result.Version, result.Routes, result.Services, result.Workspaces = r.Version, len(r.Routes), len(r.Services), len(r.Workspaces)
	if inForce != "" {
		if data, err = a.readInput(inForce); err != nil {
			return result, err
		}
		// What is in force may have faults of its own, which this change may mend.
		old, err := gooseplatform.ParseRouting(data)
		if err != nil {
			return result, errors.Wrap(err, inForce)
		}
		found = append(found, goosecheck.VersionFinding(old, r)...)
		result.setDifferences(goosecheck.RoutingDifferences(old, r))
	}
	return splitErrors(result, found)
}

// splitErrors adds the warnings to the result and returns the errors.
func splitErrors(result checkResult, found []goosecheck.Finding) (checkResult, error) {
	invalid := &gooseyaml.InvalidError{}
	for _, f := range found {
		if f.Severity == goosecheck.SeverityError {
			invalid.Problems = append(invalid.Problems, gooseyaml.Problem{File: result.File, Setting: f.Setting, Message: f.Message})
			continue
		}
		result.Findings = append(result.Findings, f)
	}
	if len(invalid.Problems) == 0 {
		return result, nil
	}
	return result, invalid
}
