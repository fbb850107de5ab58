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

// Limits of values in the configuration.
const (
	maxDeadline   = 24 * time.Hour
	maxLabelBytes = 128
	maxLabels     = 64
	maxTokens     = 1 << 40
	maxRequests   = 1 << 20
	maxWeight     = 1e6
	// maxLoads limits the slots that a dispatcher reads before it commands a
	// model load.
	maxLoads = 1000
	// minPeriod equals the resolution of the store's leases.
	minPeriod = time.Second
	maxPeriod = 24 * time.Hour
)

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// validator collects problems, and the names and values that must exist or be
// unique across the configuration.
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
	checkList(v, "services", c.Services, func(s goose.ServiceSpec) string { return string(s.Name) }, v.checkService)
	checkList(v, "workspaces", c.Workspaces, func(w goose.WorkspaceSpec) string { return string(w.Name) }, v.checkWorkspace)
	checkList(v, "data-centres", c.DataCentres, func(s goose.DataCentreSpec) string { return string(s.Name) }, v.checkDataCentre)
	checkList(v, "instances", c.Instances, func(s goose.InstanceSpec) string { return string(s.Name) }, v.checkInstance)
	checkList(v, "backend-servers", c.BackendServers, func(b goose.BackendServer) string { return string(b.Name) }, v.checkBackendServer)
	v.checkWeightStore(c.WeightStore)
	checkList(v, "selectors", c.Selectors, func(s goose.Selector) string { return s.Name }, v.checkSelector)
}

// checkList checks that the names in a list are valid and unique, and calls check
// for each element with its path in the document.
func checkList[T any](v *validator, listPath string, list []T, name func(T) string, check func(at string, e T)) {
	firstIndex := make(map[string]int, len(list))
	for i, e := range list {
		at := fmt.Sprintf("%s[%d]", listPath, i)
		n := name(e)
		v.checkName(at+".name", n)
		if j, ok := firstIndex[n]; ok && n != "" {
			v.doc.AddProblem(at+".name", "%q is already the name of %s[%d]", n, listPath, j)
		} else {
			firstIndex[n] = i
		}
		check(at, e)
	}
}

func (v *validator) checkName(at, name string) {
	if name == "" {
		v.doc.AddProblem(at, "must be given")
		return
	}
	if !goose.ValidName(name) {
		v.doc.AddProblem(at, "%.80q is not a name: %s", name, goose.NameRule)
	}
}

func (v *validator) checkService(at string, s goose.ServiceSpec) {
	checkOneOf(v, at+".kind", s.Kind, goose.KindModel, goose.KindPlain)
	if s.Kind != "" || s.Protocol != "" {
		checkOneOf(v, at+".protocol", s.Protocol, goose.ProtocolNames()...)
	}
	switch {
	case s.Deadline <= 0:
		v.doc.AddProblem(at+".deadline", "must be given and above zero, such as 30s")
	case s.Deadline > maxDeadline:
		v.doc.AddProblem(at+".deadline", "is %s; at most %s", s.Deadline, maxDeadline)
	}
	if s.Kind == goose.KindPlain && s.Model != "" {
		v.doc.AddProblem(at+".model", "a plain service has no model")
	}
	v.checkLabels(at+".labels", s.Labels)
}

func (v *validator) checkWorkspace(at string, w goose.WorkspaceSpec) {
	if len(w.KeyHashes) == 0 {
		v.doc.AddProblem(at+".key-hashes", "workspace %q needs at least one", w.Name)
	}
	for i, h := range w.KeyHashes {
		keyHashAt := fmt.Sprintf("%s.key-hashes[%d]", at, i)
		if !keyHashPattern.MatchString(h) {
			v.doc.AddProblem(keyHashAt, "must be a SHA-256 sum as 64 lower-case hexadecimal digits")
			continue
		}
		if other, ok := v.keyHashes[h]; ok {
			v.doc.AddProblem(keyHashAt, "already a key of workspace %q", other)
			continue
		}
		v.keyHashes[h] = w.Name
	}
	if !(w.Weight > 0 && w.Weight <= maxWeight) {
		v.doc.AddProblem(at+".weight", "is %g; must be above 0 and at most %g", w.Weight, float64(maxWeight))
	}
	v.checkLabels(at+".labels", w.Labels)
}

func (v *validator) checkDataCentre(at string, dc goose.DataCentreSpec) {
	v.checkState(at, dc.State)
	v.checkLabels(at+".labels", dc.Labels)
}

func (v *validator) checkInstance(at string, i goose.InstanceSpec) {
	v.checkState(at, i.State)
	v.checkLabels(at+".labels", i.Labels)
}

func (v *validator) checkBackendServer(at string, b goose.BackendServer) {
	s, known := v.services[b.Service]
	if !known && !v.doc.ListIncomplete("services") {
		v.doc.AddProblem(at+".service", "no service %q", b.Service)
	}
	if !v.centres[b.DataCentre] && !v.doc.ListIncomplete("data-centres") {
		v.doc.AddProblem(at+".data-centre", "no data centre %q", b.DataCentre)
	}
	v.checkAddress(at+".address", b)
	v.checkRange(at+".concurrency", b.Concurrency, 1, maxRequests)
	v.checkRange(at+".cold-concurrency", b.ColdConcurrency, 1, maxRequests)
	if b.ColdConcurrency > b.Concurrency {
		v.doc.AddProblem(at+".cold-concurrency", "is %d, above concurrency, which is %d", b.ColdConcurrency, b.Concurrency)
	}
	minTokens := 1
	if !known || s.Kind == goose.KindPlain {
		minTokens = 0 // a plain service holds no tokens
	}
	v.checkRange(at+".memory-tokens", b.MemoryTokens, minTokens, maxTokens)
	v.checkRange(at+".cold-tokens", b.ColdTokens, minTokens, maxTokens)
	if b.ColdTokens > b.MemoryTokens {
		v.doc.AddProblem(at+".cold-tokens", "is %d, above memory-tokens, which is %d", b.ColdTokens, b.MemoryTokens)
	}
	checkOneOf(v, at+".fencing", b.Fencing, goose.FencingChecked, goose.FencingIgnored)
	v.checkState(at, b.State)
	v.checkLabels(at+".labels", b.Labels)
}

// checkAddress also checks that no two backend servers share an address: a server
// of two services would have its limits counted twice.
func (v *validator) checkAddress(at string, b goose.BackendServer) {
	a, err := netip.ParseAddrPort(b.Address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		v.doc.AddProblem(at, "%.80q must be an IP address and port, such as 192.0.2.7:8000", b.Address)
		return
	}
	key := netip.AddrPortFrom(a.Addr().Unmap(), a.Port()).String()
	if other, ok := v.addresses[key]; ok {
		v.doc.AddProblem(at, "%s is already the address of backend server %q", b.Address, other)
		return
	}
	v.addresses[key] = b.Name
}

func (v *validator) checkSelector(at string, s goose.Selector) {
	v.checkLabels(at+".workspaces", s.Workspaces)
	v.checkLabels(at+".services", s.Services)
	v.checkLabels(at+".backend-servers", s.BackendServers)
	v.checkLabels(at+".data-centres", s.DataCentres)
}

func (v *validator) checkWeightStore(w *goose.WeightStore) {
	if w == nil {
		return
	}
	v.checkRange("weight-store.loads", w.MaxLoads, 1, maxLoads)
	if w.Period < minPeriod || w.Period > maxPeriod {
		v.doc.AddProblem("weight-store.period", "is %s; must be from %s to %s", w.Period, minPeriod, maxPeriod)
	}
}

func (v *validator) checkState(at string, s goose.AdminState) {
	checkOneOf(v, at+".state", s, goose.StateActive, goose.StateLeaving)
}

func (v *validator) checkRange(at string, got, lowest, highest int) {
	if got < lowest || got > highest {
		v.doc.AddProblem(at, "is %d; must be from %d to %d", got, lowest, highest)
	}
}

func (v *validator) checkLabels(at string, l goose.Labels) {
	if len(l) > maxLabels {
		v.doc.AddProblem(at, "has %d labels; at most %d", len(l), maxLabels)
	}
	for k, value := range l {
		if k == "" || len(k) > maxLabelBytes || len(value) > maxLabelBytes {
			v.doc.AddProblem(at+"."+k, "names and values of labels have at most %d bytes, and names at least one", maxLabelBytes)
		}
	}
}

func checkOneOf[T ~string](v *validator, at string, got T, known ...T) {
	switch {
	case slices.Contains(known, got):
	case got == "":
		v.doc.AddProblem(at, "must be given; one of %q", known)
	default:
		v.doc.AddProblem(at, "is %.80q; must be one of %q", got, known)
	}
}
