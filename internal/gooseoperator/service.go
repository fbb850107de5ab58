package gooseoperator

import (
	"context"
	"log/slog"

	"github.com/gooseberryhold/gooseberryhold/internal/gooseevent"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/gooseconfig"

	"github.com/pkg/errors"
)

// maxRebases bounds how often a change of labels or state is repeated on top of another
// operator's change.
const maxRebases = 20

// maxAuditSearch bounds the number of audit entries that are searched for a change ID.
const maxAuditSearch = 200

func (s *Server) apply(ctx context.Context, q ApplyRequest) (ChangeResult, error) {
	c, err := gooseconfig.Parse(q.File, []byte(q.Configuration))
	if err != nil {
		return ChangeResult{}, err
	}
	current, err := s.Repository.Load(ctx, s.Source.Snapshot())
	if err != nil {
		return ChangeResult{}, err
	}
	a := ChangeResult{
		Version: current.Version(), ChangeID: q.ChangeID, DryRun: q.DryRun,
		Summary: gooseconfig.Summary(current.Configuration(), c),
	}
	a.Changed = len(a.Summary) > 0
	if q.DryRun && q.Base != current.Version() {
		return ChangeResult{}, errors.Wrapf(gooseconfig.ErrConflict, "made from version %d, but version %d is published", q.Base, current.Version())
	}
	if q.DryRun || !a.Changed && q.Base == current.Version() {
		return a, nil
	}
	return s.publish(ctx, q.ChangeID, q.Author, q.Base, c, a)
}

// label changes labels and state of one object. If another operator publishes a
// configuration at the same time, the change is repeated on top of that configuration.
func (s *Server) label(ctx context.Context, q LabelRequest) (ChangeResult, error) {
	var err error
	for range maxRebases {
		var current *gooseconfig.Snapshot
		if current, err = s.Repository.Load(ctx, s.Source.Snapshot()); err != nil {
			return ChangeResult{}, err
		}
		if current.Head().ChangeID == q.ChangeID {
			return ChangeResult{Version: current.Version(), ChangeID: q.ChangeID, Changed: true}, nil
		}
		var c *goose.Configuration
		if c, err = applyLabelRequest(current.Configuration(), q); err != nil {
			return ChangeResult{}, err
		}
		a := ChangeResult{Version: current.Version(), ChangeID: q.ChangeID, Summary: gooseconfig.Summary(current.Configuration(), c)}
		if len(a.Summary) == 0 {
			return a, nil
		}
		a.Changed = true
		if a, err = s.publish(ctx, q.ChangeID, q.Author, current.Version(), c, a); !errors.Is(err, gooseconfig.ErrConflict) {
			return a, err
		}
	}
	return ChangeResult{}, err
}

func applyLabelRequest(c *goose.Configuration, q LabelRequest) (*goose.Configuration, error) {
	if q.State == "" && len(q.Set) == 0 && len(q.Remove) == 0 {
		return nil, errors.New("nothing to change: give labels or a state")
	}
	var err error
	if q.State != "" {
		if c, err = gooseconfig.WithState(c, q.Object, q.State); err != nil {
			return nil, err
		}
	}
	if len(q.Set) > 0 || len(q.Remove) > 0 {
		return gooseconfig.WithLabels(c, q.Object, q.Set, q.Remove)
	}
	return c, nil
}

func (s *Server) publish(ctx context.Context, id, author string, base int64, c *goose.Configuration, a ChangeResult) (ChangeResult, error) {
	h, err := s.Repository.Publish(ctx, gooseconfig.Change{
		ID: id, Author: author, Base: base, HighestKnownVersion: s.floor(), Configuration: c, Summary: a.Summary,
	})
	if err != nil {
		gooseevent.ConfigurationChangeRefused.Log(s.Logger, slog.String("author", author), slog.String("change", id), slog.Any("error", err))
		return ChangeResult{}, err
	}
	gooseevent.ConfigurationPublished.Log(s.Logger, slog.Int64("version", h.Version), slog.String("author", author), slog.String("change", id))
	_ = s.Refresh(ctx) // If this fails, the relay puts the new version in force here.
	a.Version, a.Changed = h.Version, true
	return a, nil
}

// floor returns the highest version that is known to be in force on any instance.
func (s *Server) floor() int64 {
	v := s.Source.Snapshot().Version()
	for _, m := range s.Members.Members() {
		v = max(v, m.Version)
	}
	return v
}

func (s *Server) config() (Config, error) {
	snapshot := s.Source.Snapshot()
	out, err := gooseconfig.Format(snapshot.Configuration())
	if err != nil {
		return Config{}, err
	}
	h := snapshot.Head()
	return Config{
		Version: h.Version, ChangeID: h.ChangeID, Author: h.Author, Time: h.Time, Base: h.Base, Configuration: string(out),
	}, nil
}

func (s *Server) audit(ctx context.Context, limit int, changeID string) ([]gooseconfig.AuditEntry, error) {
	if changeID == "" {
		return s.auditTrail(ctx, limit)
	}
	entries, err := s.auditTrail(ctx, maxAuditSearch)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		if e.ChangeID == changeID {
			return []gooseconfig.AuditEntry{e}, nil
		}
	}
	return nil, errors.Wrapf(gooseconfig.ErrNotFound, "change %s among the last %d", changeID, maxAuditSearch)
}

func (s *Server) status() Status {
	snapshot := s.Source.Snapshot()
	self := s.Members.Self()
	out := Status{
		Instance: self.Instance, DataCentre: self.DataCentre, Version: snapshot.Version(),
		Members: []MemberStatus{}, DataCentres: []DataCentreStatus{},
	}
	if err := s.Ready(); err != nil {
		out.NotReady = err.Error()
	}
	if s.RequestsInFlight != nil {
		out.RequestsInFlight = s.RequestsInFlight()
	}
	for _, m := range s.Members.Members() {
		out.Members = append(out.Members, MemberStatus{Member: m, State: snapshot.InstanceState(m.Instance)})
	}
	for _, dc := range snapshot.Configuration().DataCentres {
		d := DataCentreStatus{Name: dc.Name, Region: dc.Region, State: dc.State, Pools: []PoolStatus{}}
		for _, p := range snapshot.Pools(dc.Name) {
			d.Pools = append(d.Pools, s.poolStatus(snapshot, p))
		}
		out.DataCentres = append(out.DataCentres, d)
	}
	return out
}

func (s *Server) poolStatus(c goose.Catalogue, p goose.Pool) PoolStatus {
	out := PoolStatus{Service: p.Service}
	for _, b := range c.Pool(p) {
		out.BackendServers++
		if b.State == goose.StateLeaving {
			out.Leaving++
		}
	}
	m, ok := s.Members.Dispatcher(p)
	if !ok {
		return out
	}
	out.Dispatcher = m.Instance
	for _, h := range m.Pools {
		if h.Pool == p {
			out.Mode = h.Mode
		}
	}
	return out
}
