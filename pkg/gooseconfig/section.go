package gooseconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Sizes of stored values, in bytes.
const (
	maxSectionBytes = 512 << 10
	// maxHeadBytes stays below the store's limit of 1 MB for a value.
	maxHeadBytes = 900 << 10
)

// meanSectionElements is the mean number of elements in a section. A change writes
// and distributes one section, about 10 KB. The head needs 32 bytes for each section.
const meanSectionElements = 64

// Hash is the SHA-256 sum of an encoded section.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// Head describes one version and lists its sections.
type Head struct {
	Version int64 `cbor:"1,keyasint" json:"version"`
	// ChangeID is random for each change. It identifies the publication that took
	// effect among those that raced for the version.
	ChangeID string `cbor:"2,keyasint" json:"change-id"`
	// Sections are the hashes of the configuration's sections, in their order.
	Sections []Hash    `cbor:"3,keyasint" json:"-"`
	Author   string    `cbor:"4,keyasint" json:"author"`
	Time     time.Time `cbor:"5,keyasint" json:"time"`
	// Base is the version that the change was made to.
	Base int64 `cbor:"6,keyasint" json:"base"`
	// Obsolete are the hashes of sections that later publications delete.
	Obsolete []Hash `cbor:"7,keyasint" json:"-"`
}

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	o := cbor.CoreDetEncOptions() // equal sections must have equal hashes
	o.Time = cbor.TimeRFC3339Nano
	m, err := o.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField, MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// section is one encoded part of a configuration, with its hash.
type section struct {
	hash Hash
	data []byte
}

// encodeSections encodes a configuration as sections. The hashes of the elements'
// names determine where a list is split (content-defined chunking), so that adding
// or removing an element changes one section.
func encodeSections(c *goose.Configuration) ([]section, error) {
	var s sectionEncoder
	splitList(&s, c.Services, func(e goose.ServiceSpec) string { return string(e.Name) }, func(l []goose.ServiceSpec) goose.Configuration { return goose.Configuration{Services: l} })
	splitList(&s, c.Workspaces, func(e goose.WorkspaceSpec) string { return string(e.Name) }, func(l []goose.WorkspaceSpec) goose.Configuration { return goose.Configuration{Workspaces: l} })
	splitList(&s, c.DataCentres, func(e goose.DataCentreSpec) string { return string(e.Name) }, func(l []goose.DataCentreSpec) goose.Configuration { return goose.Configuration{DataCentres: l} })
	splitList(&s, c.Instances, func(e goose.InstanceSpec) string { return string(e.Name) }, func(l []goose.InstanceSpec) goose.Configuration { return goose.Configuration{Instances: l} })
	splitList(&s, c.BackendServers, func(e goose.BackendServer) string { return string(e.Name) }, func(l []goose.BackendServer) goose.Configuration { return goose.Configuration{BackendServers: l} })
	splitList(&s, c.Selectors, func(e goose.Selector) string { return e.Name }, func(l []goose.Selector) goose.Configuration { return goose.Configuration{Selectors: l} })
	if c.WeightStore != nil {
		// The rate is a section of its own, so that instances of an earlier release
		// can read every configuration that has none.
		data, err := encMode.Marshal(goose.Configuration{WeightStore: c.WeightStore})
		if err != nil {
			return nil, errors.Wrap(err, "encode section")
		}
		s.sections = append(s.sections, section{hash: hashOf(data), data: data})
	}
	return s.sections, s.err
}

type sectionEncoder struct {
	sections []section
	err      error
}

// splitList adds the elements of a list as sections, each with the elements up to
// and including one whose name has a hash that is a multiple of meanSectionElements.
func splitList[T any](s *sectionEncoder, list []T, name func(T) string, wrap func([]T) goose.Configuration) {
	start := 0
	for i, e := range list {
		if i+1 == len(list) || xxhash.Sum64String(name(e))%meanSectionElements == 0 {
			addSection(s, list[start:i+1], name, wrap)
			start = i + 1
		}
	}
}

// addSection encodes consecutive elements as one section. If that is larger than
// maxSectionBytes, it encodes each half of the elements on its own.
func addSection[T any](s *sectionEncoder, elements []T, name func(T) string, wrap func([]T) goose.Configuration) {
	data, err := encMode.Marshal(wrap(elements))
	switch {
	case err != nil:
		s.err = errors.Wrap(err, "encode section")
	case len(data) <= maxSectionBytes:
		s.sections = append(s.sections, section{hash: hashOf(data), data: data})
	case len(elements) == 1:
		s.err = errors.Errorf("%q takes %d bytes; at most %d for one name", name(elements[0]), len(data), maxSectionBytes)
	default:
		addSection(s, elements[:len(elements)/2], name, wrap)
		addSection(s, elements[len(elements)/2:], name, wrap)
	}
}

// assemble decodes the sections of a head, checks their hashes and validates
// the result. The snapshot keeps the map, which must hold no other sections.
func assemble(h Head, sections map[Hash][]byte) (*Snapshot, error) {
	c := &goose.Configuration{}
	for _, hash := range h.Sections {
		data, ok := sections[hash]
		if !ok {
			return nil, errors.Errorf("version %d: section %s is missing", h.Version, hash)
		}
		if hashOf(data) != hash {
			return nil, errors.Errorf("version %d: section %s has another hash", h.Version, hash)
		}
		var part goose.Configuration
		if err := decMode.Unmarshal(data, &part); err != nil {
			return nil, errors.Wrapf(err, "version %d: section %s", h.Version, hash)
		}
		c.Services = append(c.Services, part.Services...)
		c.Workspaces = append(c.Workspaces, part.Workspaces...)
		c.DataCentres = append(c.DataCentres, part.DataCentres...)
		c.Instances = append(c.Instances, part.Instances...)
		c.BackendServers = append(c.BackendServers, part.BackendServers...)
		c.Selectors = append(c.Selectors, part.Selectors...)
		if part.WeightStore != nil {
			c.WeightStore = part.WeightStore
		}
	}
	if err := Validate(c); err != nil {
		return nil, errors.Wrapf(err, "version %d", h.Version)
	}
	s := newSnapshot(h, c)
	s.sections = sections
	return s, nil
}

func decodeHead(data []byte) (Head, error) {
	var h Head
	if err := decMode.Unmarshal(data, &h); err != nil {
		return Head{}, errors.Wrap(err, "configuration head")
	}
	return h, nil
}

func hashOf(data []byte) Hash { return sha256.Sum256(data) }
