package gooseconfig

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"time"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseyaml"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Limits of single values.
const (
	maxDeadline   = 24 * time.Hour
	maxLabelBytes = 128
	maxLabels     = 64
	maxTokens     = 1 << 40
	maxRequests   = 1 << 20
	maxWeight     = 1e6
	// maxLoads bounds the slots that a dispatcher reads before a load order.
	maxLoads = 1000
	// minPeriod is the resolution of the store's leases.
	minPeriod = time.Second
	maxPeriod = 24 * time.Hour
)

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// validator collects problems and the names that references need.
type validator struct {
	doc       *gooseyaml.Document
	services  map[goose.ServiceName]goose.ServiceSpec
	centres   map[goose.DataCentre]bool
	addresses map[string]goose.ReplicaID
	keyHashes map[string]goose.WorkspaceName
}

func validate(d *gooseyaml.Document, c *goose.Configuration) {
	v := &validator{
		doc: d, services: map[goose.ServiceName]goose.ServiceSpec{}, centres: map[goose.DataCentre]bool{},
		addresses: map[string]goose.ReplicaID{}, keyHashes: map[string]goose.WorkspaceName{},
	}
	for _, s := range c.Services {
		v.services[s.Name] = s
	}
	for _, dc := range c.DataCentres {
		v.centres[dc.Name] = true
	}
	each(v, "services", c.Services, func(s goose.ServiceSpec) string { return string(s.Name) }, v.service)
	each(v, "workspaces", c.Workspaces, func(w goose.WorkspaceSpec) string { return string(w.Name) }, v.workspace)
	each(v, "data-centres", c.DataCentres, func(s goose.DataCentreSpec) string { return string(s.Name) }, v.dataCentre)
	each(v, "instances", c.Instances, func(s goose.InstanceSpec) string { return string(s.Name) }, v.instance)
	each(v, "backend-servers", c.BackendServers, func(b goose.BackendServer) string { return string(b.Name) }, v.backendServer)
	v.weightStore(c.WeightStore)
	each(v, "selectors", c.Selectors, func(s goose.Selector) string { return s.Name }, v.selector)
}

// each checks the names of a list for form and repetition, and its elements.
func each[T any](v *validator, list string, all []T, name func(T) string, check func(at string, e T)) {
	first := make(map[string]int, len(all))
	for i, e := range all {
		at := fmt.Sprintf("%s[%d]", list, i)
		n := name(e)
		v.name(at+".name", n)
		if j, ok := first[n]; ok && n != "" {
			v.doc.Problem(at+".name", "%q is already the name of %s[%d]", n, list, j)
		} else {
			first[n] = i
		}
		check(at, e)
	}
}

func (v *validator) name(at, name string) {
	if name == "" {
		v.doc.Problem(at, "must be given")
		return
	}
	if !goose.ValidName(name) {
		v.doc.Problem(at, "%.80q is not a name: %s", name, goose.NameRule)
	}
}

func (v *validator) service(at string, s goose.ServiceSpec) {
	oneOf(v, at+".kind", s.Kind, goose.KindModel, goose.KindPlain)
	if s.Kind != "" || s.Protocol != "" {
		oneOf(v, at+".protocol", s.Protocol, goose.ProtocolNames()...)
	}
	switch {
	case s.Deadline <= 0:
		v.doc.Problem(at+".deadline", "must be given and above zero, such as 30s")
	case s.Deadline > maxDeadline:
		v.doc.Problem(at+".deadline", "is %s; at most %s", s.Deadline, maxDeadline)
	}
	if s.Kind == goose.KindPlain && s.Model != "" {
		v.doc.Problem(at+".model", "a plain service has no model")
	}
	v.labels(at+".labels", s.Labels)
}

func (v *validator) workspace(at string, w goose.WorkspaceSpec) {
	if len(w.KeyHashes) == 0 {
		v.doc.Problem(at+".key-hashes", "workspace %q needs at least one", w.Name)
	}
	for i, h := range w.KeyHashes {
		here := fmt.Sprintf("%s.key-hashes[%d]", at, i)
		if !hashPattern.MatchString(h) {
			v.doc.Problem(here, "must be a SHA-256 sum as 64 lower-case hexadecimal digits")
			continue
		}
		if other, ok := v.keyHashes[h]; ok {
			v.doc.Problem(here, "already a key of workspace %q", other)
			continue
		}
		v.keyHashes[h] = w.Name
	}
	if !(w.Weight > 0 && w.Weight <= maxWeight) {
		v.doc.Problem(at+".weight", "is %g; must be above 0 and at most %g", w.Weight, float64(maxWeight))
	}
	v.labels(at+".labels", w.Labels)
}

func (v *validator) dataCentre(at string, dc goose.DataCentreSpec) {
	v.state(at, dc.State)
	v.labels(at+".labels", dc.Labels)
}

func (v *validator) instance(at string, i goose.InstanceSpec) {
	v.state(at, i.State)
	v.labels(at+".labels", i.Labels)
}

func (v *validator) backendServer(at string, b goose.BackendServer) {
	s, known := v.services[b.Service]
	if !known && !v.doc.Broken("services") {
		v.doc.Problem(at+".service", "no service %q", b.Service)
	}
	if !v.centres[b.DataCentre] && !v.doc.Broken("data-centres") {
		v.doc.Problem(at+".data-centre", "no data centre %q", b.DataCentre)
	}
	v.address(at+".address", b)
	v.between(at+".concurrency", b.Concurrency, 1, maxRequests)
	v.between(at+".cold-concurrency", b.ColdConcurrency, 1, maxRequests)
	if b.ColdConcurrency > b.Concurrency {
		v.doc.Problem(at+".cold-concurrency", "is %d, above concurrency, which is %d", b.ColdConcurrency, b.Concurrency)
	}
	least := 1
	if !known || s.Kind == goose.KindPlain {
		least = 0 // a plain service holds no tokens
	}
	v.between(at+".memory-tokens", b.MemoryTokens, least, maxTokens)
	v.between(at+".cold-tokens", b.ColdTokens, least, maxTokens)
	if b.ColdTokens > b.MemoryTokens {
		v.doc.Problem(at+".cold-tokens", "is %d, above memory-tokens, which is %d", b.ColdTokens, b.MemoryTokens)
	}
	oneOf(v, at+".fencing", b.Fencing, goose.FencingChecked, goose.FencingIgnored)
	v.state(at, b.State)
	v.labels(at+".labels", b.Labels)
}

// address checks that no two backend servers share an address: one server
// belongs to one service, or its limits would be counted twice.
func (v *validator) address(at string, b goose.BackendServer) {
	a, err := netip.ParseAddrPort(b.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		v.doc.Problem(at, "%.80q must be an IP address and port, such as 192.0.2.7:8000", b.Address)
		return
	}
	key := netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String()
	if other, ok := v.addresses[key]; ok {
		v.doc.Problem(at, "%s is already the address of backend server %q", b.Address, other)
		return
	}
	v.addresses[key] = b.Name
}

func (v *validator) selector(at string, s goose.Selector) {
	v.labels(at+".workspaces", s.Workspaces)
	v.labels(at+".services", s.Services)
	v.labels(at+".backend-servers", s.BackendServers)
	v.labels(at+".data-centres", s.DataCentres)
}

func (v *validator) weightStore(w *goose.WeightStore) {
	if w == nil {
		return
	}
	v.between("weight-store.loads", w.MaxLoads, 1, maxLoads)
	if w.Period < minPeriod || w.Period > maxPeriod {
		v.doc.Problem("weight-store.period", "is %s; must be from %s to %s", w.Period, minPeriod, maxPeriod)
	}
}

func (v *validator) state(at string, s goose.AdminState) {
	oneOf(v, at+".state", s, goose.StateActive, goose.StateLeaving)
}

func (v *validator) between(at string, got, least, most int) {
	if got < least || got > most {
		v.doc.Problem(at, "is %d; must be from %d to %d", got, least, most)
	}
}

func (v *validator) labels(at string, l goose.Labels) {
	if len(l) > maxLabels {
		v.doc.Problem(at, "has %d labels; at most %d", len(l), maxLabels)
	}
	for k, value := range l {
		if k == "" || len(k) > maxLabelBytes || len(value) > maxLabelBytes {
			v.doc.Problem(at+"."+k, "names and values of labels have at most %d bytes, and names at least one", maxLabelBytes)
		}
	}
}

func oneOf[T ~string](v *validator, at string, got T, known ...T) {
	switch {
	case slices.Contains(known, got):
	case got == "":
		v.doc.Problem(at, "must be given; one of %q", known)
	default:
		v.doc.Problem(at, "is %.80q; must be one of %q", got, known)
	}
}
