// Package gooseconfig parses and validates the configuration that operators
// write, keeps the version in force as an immutable snapshot, and publishes and
// distributes new versions.
package gooseconfig

import (
	"fmt"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// InvalidError lists everything that is wrong with a configuration.
type InvalidError = gooseyaml.InvalidError

// Parse reads a configuration from YAML, fills in defaults and validates it as
// a whole. The error is an InvalidError with every problem found. The file name
// is used only in that error.
func Parse(file string, data []byte) (*goose.Configuration, error) {
	c := &goose.Configuration{}
	d := gooseyaml.Decode(file, data, c)
	fillDefaults(d, c)
	requireExplicit(d, c)
	validate(d, c)
	if err := d.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Validate checks a configuration as a whole. The error is an
// InvalidError with every problem found.
func Validate(c *goose.Configuration) error {
	d := gooseyaml.New()
	validate(d, c)
	return d.Err()
}

// Format returns the configuration as YAML that Parse accepts.
func Format(c *goose.Configuration) ([]byte, error) {
	out, err := yaml.Marshal(c)
	return out, errors.Wrap(err, "write configuration as YAML")
}

// Protocols of services that name none, by kind.
const (
	defaultModelProtocol = "openai"
	defaultPlainProtocol = "http"
)

func fillDefaults(d *gooseyaml.Document, c *goose.Configuration) {
	for i := range c.Services {
		s := &c.Services[i]
		if s.Protocol == "" {
			s.Protocol = map[goose.ServiceKind]string{goose.KindModel: defaultModelProtocol, goose.KindPlain: defaultPlainProtocol}[s.Kind]
		}
		if s.Model == "" && s.Kind == goose.KindModel {
			s.Model = string(s.Name)
		}
	}
	for i := range c.Workspaces {
		if !d.Has(fmt.Sprintf("workspaces[%d].weight", i)) {
			c.Workspaces[i].Weight = 1
		}
	}
	for i := range c.DataCentres {
		defaultState(&c.DataCentres[i].State)
	}
	for i := range c.Instances {
		defaultState(&c.Instances[i].State)
	}
	for i := range c.BackendServers {
		b := &c.BackendServers[i]
		defaultState(&b.State)
		if b.Fencing == "" {
			// This is the safe assumption: a new dispatcher then waits until the former
			// one can no longer send a command.
			b.Fencing = goose.FencingIgnored
		}
	}
}

func defaultState(s *goose.AdminState) {
	if *s == "" {
		*s = goose.StateActive
	}
}

// requireExplicit reports settings that are missing and whose zero value would be
// an unsafe default.
func requireExplicit(d *gooseyaml.Document, c *goose.Configuration) {
	for i := range c.Services {
		at := fmt.Sprintf("services[%d].idempotent", i)
		if !d.Has(at) {
			d.AddProblem(at, "must be given: false if a request must never run twice")
		}
	}
}
