package gooseconfig

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"slices"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// Snapshot is one version of the configuration with its indexes. It is
// immutable and implements goose.Catalogue.
type Snapshot struct {
	head   Head
	config *goose.Configuration
	// sections are the encoded sections, kept to serve peers. It is nil for a
	// configuration that was not read from the store or a peer.
	sections   map[Hash][]byte
	services   map[goose.ServiceName]goose.ServiceSpec
	workspaces map[goose.WorkspaceName]*workspace
	// keys is indexed by the first 8 bytes of the hash of an API key.
	keys          map[uint64][]keyEntry
	centres       map[goose.DataCentre]goose.DataCentreSpec
	instances     map[goose.InstanceID]goose.AdminState
	servers       map[goose.ReplicaID]goose.BackendServer
	pools         map[goose.Pool][]goose.BackendServer
	poolsByCentre map[goose.DataCentre][]goose.Pool
}

type workspace struct {
	spec   goose.WorkspaceSpec
	access accessByService
}

type keyEntry struct {
	hash      [sha256.Size]byte
	workspace *workspace
}

var _ goose.Catalogue = (*Snapshot)(nil)

// NewSnapshot indexes a validated configuration as a version. The caller must
// not change the configuration afterwards.
func NewSnapshot(version int64, c *goose.Configuration) *Snapshot {
	return newSnapshot(Head{Version: version}, c)
}

func newSnapshot(h Head, c *goose.Configuration) *Snapshot {
	s := &Snapshot{
		head: h, config: c,
		services:      make(map[goose.ServiceName]goose.ServiceSpec, len(c.Services)),
		workspaces:    make(map[goose.WorkspaceName]*workspace, len(c.Workspaces)),
		keys:          make(map[uint64][]keyEntry, len(c.Workspaces)),
		centres:       make(map[goose.DataCentre]goose.DataCentreSpec, len(c.DataCentres)),
		instances:     make(map[goose.InstanceID]goose.AdminState, len(c.Instances)),
		servers:       make(map[goose.ReplicaID]goose.BackendServer, len(c.BackendServers)),
		pools:         map[goose.Pool][]goose.BackendServer{},
		poolsByCentre: map[goose.DataCentre][]goose.Pool{},
	}
	for _, spec := range c.Services {
		s.services[spec.Name] = spec
	}
	for _, dc := range c.DataCentres {
		s.centres[dc.Name] = dc
	}
	for _, i := range c.Instances {
		s.instances[i.Name] = i.State
	}
	s.addServers(c.BackendServers)
	s.addWorkspaces(c.Workspaces)
	return s
}

func (s *Snapshot) addServers(servers []goose.BackendServer) {
	for _, b := range servers {
		s.servers[b.Name] = b
		p := goose.Pool{DataCentre: b.DataCentre, Service: b.Service}
		if len(s.pools[p]) == 0 {
			s.poolsByCentre[p.DataCentre] = append(s.poolsByCentre[p.DataCentre], p)
		}
		s.pools[p] = append(s.pools[p], b)
	}
}

func (s *Snapshot) addWorkspaces(specs []goose.WorkspaceSpec) {
	index := newAccessIndex(s)
	for _, spec := range specs {
		w := &workspace{spec: spec, access: index.forWorkspace(spec.Labels)}
		s.workspaces[spec.Name] = w
		for _, h := range spec.KeyHashes {
			var e keyEntry
			if _, err := hex.Decode(e.hash[:], []byte(h)); err != nil {
				continue // Validate rejects such a hash
			}
			e.workspace = w
			k := binary.BigEndian.Uint64(e.hash[:])
			s.keys[k] = append(s.keys[k], e)
		}
	}
}

// Version returns the version of the snapshot. Zero is the empty configuration
// before the first version.
func (s *Snapshot) Version() int64 { return s.head.Version }

// Head returns the head of the version: who published it, when, and its sections.
func (s *Snapshot) Head() Head { return s.head }

// Configuration returns the whole configuration.
func (s *Snapshot) Configuration() *goose.Configuration { return s.config }

// Service returns a service by name.
func (s *Snapshot) Service(n goose.ServiceName) (goose.ServiceSpec, bool) {
	spec, ok := s.services[n]
	return spec, ok
}

// Workspace returns a workspace by name.
func (s *Snapshot) Workspace(n goose.WorkspaceName) (goose.WorkspaceSpec, bool) {
	w, ok := s.workspaces[n]
	if !ok {
		return goose.WorkspaceSpec{}, false
	}
	return w.spec, true
}

// WorkspaceByKey returns the workspace to which the API key belongs. It compares
// the whole hash in constant time.
func (s *Snapshot) WorkspaceByKey(key string) (goose.WorkspaceSpec, bool) {
	sum := sha256.Sum256([]byte(key))
	for _, e := range s.keys[binary.BigEndian.Uint64(sum[:])] {
		if subtle.ConstantTimeCompare(e.hash[:], sum[:]) == 1 {
			return e.workspace.spec, true
		}
	}
	return goose.WorkspaceSpec{}, false
}

// DataCentre returns a data centre by name.
func (s *Snapshot) DataCentre(n goose.DataCentre) (goose.DataCentreSpec, bool) {
	dc, ok := s.centres[n]
	return dc, ok
}

// InstanceState returns the state of an instance, which is goose.StateActive if
// the configuration does not list it.
func (s *Snapshot) InstanceState(n goose.InstanceID) goose.AdminState {
	if state, ok := s.instances[n]; ok {
		return state
	}
	return goose.StateActive
}

// BackendServer returns a backend server by name.
func (s *Snapshot) BackendServer(id goose.ReplicaID) (goose.BackendServer, bool) {
	b, ok := s.servers[id]
	return b, ok
}

// Pool returns the backend servers of a pool, including those that are leaving.
func (s *Snapshot) Pool(p goose.Pool) []goose.BackendServer { return s.pools[p] }

// Pools returns the pools of a data centre.
func (s *Snapshot) Pools(dc goose.DataCentre) []goose.Pool { return s.poolsByCentre[dc] }

// Allowed returns the backend servers of a pool that the workspace may use now.
func (s *Snapshot) Allowed(n goose.WorkspaceName, p goose.Pool) []goose.BackendServer {
	w, ok := s.workspaces[n]
	if !ok {
		return nil
	}
	if access := w.access[p.Service]; access != nil {
		return access.pools[p.DataCentre]
	}
	return nil
}

// DataCentresFor returns the data centres in which the workspace may use the
// service now, in the order of the configuration.
func (s *Snapshot) DataCentresFor(n goose.WorkspaceName, service goose.ServiceName) []goose.DataCentre {
	w, ok := s.workspaces[n]
	if !ok {
		return nil
	}
	if access := w.access[service]; access != nil {
		return access.centres
	}
	return nil
}

// accessByService holds the access of one workspace to each service.
type accessByService map[goose.ServiceName]*serviceAccess

// serviceAccess lists the backend servers of one service that a workspace may use,
// by data centre, and the data centres that have any.
type serviceAccess struct {
	pools   map[goose.DataCentre][]goose.BackendServer
	centres []goose.DataCentre
}

// accessIndex computes the access once per set of matching selectors, so that the
// many workspaces with equal rights share one result.
type accessIndex struct {
	snapshot *Snapshot
	// selectorsByService lists the indexes of the selectors that match a service.
	selectorsByService map[goose.ServiceName][]int
	// byMatchingSelectors is keyed by the set of selectors that match a workspace.
	byMatchingSelectors map[string]accessByService
	// byServiceAndSelectors is keyed by a service and those of its selectors that
	// match a workspace.
	byServiceAndSelectors map[string]*serviceAccess
}

func newAccessIndex(s *Snapshot) *accessIndex {
	x := &accessIndex{
		snapshot: s, selectorsByService: map[goose.ServiceName][]int{},
		byMatchingSelectors: map[string]accessByService{}, byServiceAndSelectors: map[string]*serviceAccess{},
	}
	for _, spec := range s.config.Services {
		for i, sel := range s.config.Selectors {
			if spec.Labels.Match(sel.Services) {
				x.selectorsByService[spec.Name] = append(x.selectorsByService[spec.Name], i)
			}
		}
	}
	return x
}

func (x *accessIndex) forWorkspace(l goose.Labels) accessByService {
	// matching holds, for each selector, whether it matches the workspace.
	matching := make([]bool, len(x.snapshot.config.Selectors))
	for i, sel := range x.snapshot.config.Selectors {
		matching[i] = l.Match(sel.Workspaces)
	}
	key := bitsetKey(matching, nil)
	if access, ok := x.byMatchingSelectors[key]; ok {
		return access
	}
	access := make(accessByService, len(x.snapshot.config.Services))
	for _, spec := range x.snapshot.config.Services {
		access[spec.Name] = x.forService(spec.Name, matching)
	}
	x.byMatchingSelectors[key] = access
	return access
}

// forService returns the access to a service that the matching selectors grant. A
// service that no selector matches is open to every workspace.
func (x *accessIndex) forService(service goose.ServiceName, matching []bool) *serviceAccess {
	relevant := x.selectorsByService[service]
	key := string(service) + "/" + bitsetKey(matching, relevant)
	if len(relevant) == 0 {
		key = string(service)
	}
	if access, ok := x.byServiceAndSelectors[key]; ok {
		return access
	}
	granting := slices.DeleteFunc(slices.Clone(relevant), func(i int) bool { return !matching[i] })
	access := &serviceAccess{pools: map[goose.DataCentre][]goose.BackendServer{}}
	for _, dc := range x.snapshot.config.DataCentres {
		if dc.State == goose.StateLeaving {
			continue
		}
		if servers := x.allowedServers(service, dc, granting, len(relevant) == 0); len(servers) > 0 {
			access.pools[dc.Name] = servers
			access.centres = append(access.centres, dc.Name)
		}
	}
	x.byServiceAndSelectors[key] = access
	return access
}

func (x *accessIndex) allowedServers(service goose.ServiceName, dc goose.DataCentreSpec, granting []int, unrestricted bool) []goose.BackendServer {
	var out []goose.BackendServer
	for _, b := range x.snapshot.pools[goose.Pool{DataCentre: dc.Name, Service: service}] {
		if b.State == goose.StateLeaving {
			continue
		}
		matches := func(i int) bool {
			sel := x.snapshot.config.Selectors[i]
			return b.Labels.Match(sel.BackendServers) && dc.Labels.Match(sel.DataCentres)
		}
		if unrestricted || slices.ContainsFunc(granting, matches) {
			out = append(out, b)
		}
	}
	return out
}

// bitsetKey packs the elements of set at the given indexes, or all elements if
// indexes is nil, into a map key.
func bitsetKey(set []bool, indexes []int) string {
	if indexes == nil {
		indexes = make([]int, len(set))
		for i := range indexes {
			indexes[i] = i
		}
	}
	out := make([]byte, (len(indexes)+7)/8)
	for i, index := range indexes {
		if set[index] {
			out[i/8] |= 1 << (i % 8)
		}
	}
	return string(out)
}
