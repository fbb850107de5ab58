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

// certificateLifetime exceeds the duration of any run.
const certificateLifetime = 24 * time.Hour

func hexHash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// configuration returns the operators' configuration of the fleet.
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
		c.Workspaces = append(c.Workspaces, goose.WorkspaceSpec{Name: goose.WorkspaceName(w.Name), KeyHashes: []string{hexHash(w.Key)}, Weight: w.Weight})
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
		c.WeightStore = &goose.WeightStore{MaxLoads: w.MaxLoads, Period: w.Period}
	}
	return c
}

// writeConfiguration writes the configuration file and returns its path.
func (f *Fleet) writeConfiguration() (string, error) {
	data, err := yaml.Marshal(f.configuration())
	if err != nil {
		return "", errors.Wrap(err, "configuration")
	}
	path := filepath.Join(f.dir, "fleet.yaml")
	return path, errors.Wrap(os.WriteFile(path, data, 0o600), "configuration")
}

// writeCertificates writes the certificate authority and a certificate for each
// instance.
func (f *Fleet) writeCertificates() error {
	now := time.Now()
	ca, err := goosecert.NewAuthority(f.spec.Name, now, certificateLifetime)
	if err != nil {
		return errors.Wrap(err, "authority")
	}
	if err := ca.Write(f.filePath("authority.crt"), f.filePath("authority.key"), true); err != nil {
		return errors.Wrap(err, "authority")
	}
	for _, inst := range f.Instances {
		p, err := goosecert.NewInstanceCertificate(ca, goose.InstanceID(inst.Name), []net.IP{net.IPv4(127, 0, 0, 1)}, now, certificateLifetime)
		if err != nil {
			return errors.Wrapf(err, "certificate of %s", inst.Name)
		}
		if err := p.Write(f.filePath(inst.Name+".crt"), f.filePath(inst.Name+".key"), true); err != nil {
			return errors.Wrapf(err, "certificate of %s", inst.Name)
		}
	}
	return nil
}

// writeSettings writes the settings file of an instance.
func (f *Fleet) writeSettings(inst *Instance) error {
	peers := []string{}
	for _, other := range f.Instances {
		if other != inst {
			peers = append(peers, other.Peer)
		}
	}
	settings := map[string]any{
		"instance": inst.Name, "data-centre": inst.DataCentre, "fleet": f.spec.Name,
		"listen": inst.Caller, "operator-listen": inst.Operator, "peer-listen": inst.listenAddress,
		"store":         map[string]any{"kind": "etcd", "address": f.Stores[f.endpointOf(inst)].Address},
		"instance-list": fmt.Sprintf("http://%s/v1/instances", f.Lists[f.endpointOf(inst)].Address),
		"peers":         peers,
		"certificate":   f.filePath(inst.Name + ".crt"), "key": f.filePath(inst.Name + ".key"), "authority": f.filePath("authority.crt"),
		"operator-token-hash": hexHash(f.OperatorToken),
		// The delay allows several health checks of the simulated balancer.
		"drain-delay": "2s",
	}
	if inst.Peer != inst.listenAddress {
		settings["peer-advertise"] = inst.Peer
	}
	for k, v := range f.spec.Settings {
		settings[k] = v
	}
	data, err := yaml.Marshal(settings)
	if err != nil {
		return errors.Wrapf(err, "settings of %s", inst.Name)
	}
	return errors.Wrapf(os.WriteFile(f.settingsPath(inst), data, 0o600), "settings of %s", inst.Name)
}

func (f *Fleet) settingsPath(inst *Instance) string { return f.filePath(inst.Name + ".yaml") }

func (f *Fleet) filePath(name string) string { return filepath.Join(f.dir, name) }
