package goosefleet

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosecert"
)

// certificateLife is longer than any run.
const certificateLife = 24 * time.Hour

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// configuration returns what operators would write for the fleet.
func (f *Fleet) configuration() goose.Configuration {
	var c goose.Configuration
	for _, dc := range f.spec.DataCentres {
		c.DataCentres = append(c.DataCentres, goose.DataCentreSpec{Name: goose.DataCentre(dc), State: goose.StateActive, Labels: goose.Labels{"name": dc}})
	}
	for _, s := range f.spec.Services {
		spec := goose.ServiceSpec{Name: goose.ServiceName(s.Name), Kind: goose.KindModel, Protocol: "openai", Model: s.Name, Idempotent: s.Idempotent, Deadline: s.Deadline}
		if s.Plain {
			spec.Kind, spec.Protocol, spec.Model = goose.KindPlain, "http", ""
		}
		c.Services = append(c.Services, spec)
	}
	for _, w := range f.spec.Workspaces {
		c.Workspaces = append(c.Workspaces, goose.WorkspaceSpec{Name: goose.WorkspaceName(w.Name), KeyHashes: []string{hash(w.Key)}, Weight: w.Weight})
	}
	for _, b := range f.Backends {
		fencing := goose.FencingChecked
		if b.service.FencingIgnored {
			fencing = goose.FencingIgnored
		}
		c.BackendServers = append(c.BackendServers, goose.BackendServer{
			Name: goose.ReplicaID(b.Name), Service: goose.ServiceName(b.Service), DataCentre: goose.DataCentre(b.DataCentre),
			Address: b.Address, MemoryTokens: b.service.MemoryTokens, Concurrency: b.service.Concurrency,
			ColdConcurrency: b.service.ColdConcurrency, ColdTokens: b.service.ColdTokens,
			Fencing: fencing, State: goose.StateActive,
		})
	}
	if w := f.spec.WeightStore; w != nil {
		c.WeightStore = &goose.WeightStore{MaxLoads: w.Loads, Period: w.Period}
	}
	return c
}

// writeConfiguration writes the operators' file and returns its name.
func (f *Fleet) writeConfiguration() (string, error) {
	data, err := yaml.Marshal(f.configuration())
	if err != nil {
		return "", errors.Wrap(err, "configuration")
	}
	name := filepath.Join(f.dir, "fleet.yaml")
	return name, errors.Wrap(os.WriteFile(name, data, 0o600), "configuration")
}

// writeCertificates writes the authority and a certificate per instance.
func (f *Fleet) writeCertificates() error {
	now := time.Now()
	ca, err := goosecert.NewAuthority(f.spec.Name, now, certificateLife)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	if err := ca.Write(f.file("authority.crt"), f.file("authority.key"), true); err != nil {
		return errors.Wrap(err, "authority")
	}
	for _, i := range f.Instances {
		p, err := goosecert.NewInstance(ca, goose.InstanceID(i.Name), []net.IP{net.IPv4(127, 0, 0, 1)}, now, certificateLife)
		if err != nil {
			return errors.Wrapf(err, "certificate of %s", i.Name)
		}
		if err := p.Write(f.file(i.Name+".crt"), f.file(i.Name+".key"), true); err != nil {
			return errors.Wrapf(err, "certificate of %s", i.Name)
		}
	}
	return nil
}

// writeSettings writes the settings file of an instance.
func (f *Fleet) writeSettings(i *Instance) error {
	peers := []string{}
	for _, o := range f.Instances {
		if o != i {
			peers = append(peers, o.Peer)
		}
	}
	s := map[string]any{
		"instance": i.Name, "data-centre": i.DataCentre, "fleet": f.spec.Name,
		"listen": i.Caller, "operator-listen": i.Operator, "peer-listen": i.listen,
		"store":         map[string]any{"kind": "etcd", "address": f.Stores[f.endpointOf(i)].Address},
		"instance-list": fmt.Sprintf("http://%s/v1/instances", f.Lists[f.endpointOf(i)].Address),
		"peers":         peers,
		"certificate":   f.file(i.Name + ".crt"), "key": f.file(i.Name + ".key"), "authority": f.file("authority.crt"),
		"operator-token-hash": hash(f.OperatorToken),
		// Several checks of the balancer's simulator fit in.
		"drain-delay": "2s",
	}
	if i.Peer != i.listen {
		s["peer-advertise"] = i.Peer
	}
	for k, v := range f.spec.Settings {
		s[k] = v
	}
	data, err := yaml.Marshal(s)
	if err != nil {
		return errors.Wrapf(err, "settings of %s", i.Name)
	}
	return errors.Wrapf(os.WriteFile(f.settingsFile(i), data, 0o600), "settings of %s", i.Name)
}

func (f *Fleet) settingsFile(i *Instance) string { return f.file(i.Name + ".yaml") }

func (f *Fleet) file(name string) string { return filepath.Join(f.dir, name) }
