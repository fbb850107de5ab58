package goosemember

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// digestMargin makes up for tickers that are late, so that a data centre that
// was asked by the last exchange is asked again by the next one.
const digestMargin = DigestInterval / 10

// versions are the configuration versions in force at the members of a digest.
type versions struct {
	// Version is that of all members that Others does not name.
	Version int64                      `cbor:"1,keyasint"`
	Others  map[goose.InstanceID]int64 `cbor:"2,keyasint,omitempty"`
}

func (v versions) of(id goose.InstanceID) int64 {
	if other, ok := v.Others[id]; ok {
		return other
	}
	return v.Version
}

// versionsOf names the fewest members.
func versionsOf(members []goose.Member) versions {
	count := map[int64]int{}
	var v versions
	for _, m := range members {
		if count[m.Version]++; count[m.Version] > count[v.Version] {
			v.Version = m.Version
		}
	}
	for _, m := range members {
		if m.Version == v.Version {
			continue
		}
		if v.Others == nil {
			v.Others = map[goose.InstanceID]int64{}
		}
		v.Others[m.Instance] = m.Version
	}
	return v
}

// exchangeDigests exchanges digests with one live member of every other data
// centre that has not confirmed its own within the last interval, if this
// instance is the relay of its own data centre. One call confirms both digests,
// so a pair of data centres needs one per interval.
func (c *Cluster) exchangeDigests(ctx context.Context) {
	if c.Relay(c.o.Self.DataCentre) != c.o.Self.Instance {
		return
	}
	near := c.liveMembers(c.o.Self.DataCentre)
	own := digestState{DataCentre: c.o.Self.DataCentre, Hash: digestHash(near), Versions: versionsOf(near)}
	var calls conc.WaitGroup
	for dc, addresses := range c.remoteAddresses() {
		age := c.table.digestAge(dc)
		if age < DigestInterval-digestMargin {
			continue
		}
		f := fetch{DataCentre: dc}
		if age < 2*DigestInterval {
			f.Own = &own
		}
		calls.Go(func() {
			for _, a := range addresses {
				if c.fetchDigest(ctx, a, kindDigest, f) {
					return
				}
			}
		})
	}
	calls.Wait()
}

// remoteCandidates bounds how many members of a data centre are asked in turn.
const remoteCandidates = 3

// remoteAddresses returns a few addresses for every other data centre, members
// believed live first.
func (c *Cluster) remoteAddresses() map[goose.DataCentre][]string {
	byDC := map[goose.DataCentre][]string{}
	for _, wantLive := range []bool{true, false} {
		for _, m := range c.Members() {
			if m.DataCentre == c.o.Self.DataCentre || m.Live != wantLive || len(byDC[m.DataCentre]) >= remoteCandidates {
				continue
			}
			byDC[m.DataCentre] = append(byDC[m.DataCentre], m.Address)
		}
	}
	return byDC
}

// fetchDigest gets a data centre's digest from the instance at address and
// returns whether it answered.
func (c *Cluster) fetchDigest(ctx context.Context, address, kind string, f fetch) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.Known = c.knownHash(f.DataCentre)
	// The time of sending counts, so that the next exchange is due even if the
	// answer takes long.
	sent := c.o.Now()
	var answer fetchAnswer
	if err := c.o.Caller.Call(ctx, address, kind, f, &answer); err != nil {
		return false
	}
	if answer.Unchanged {
		c.table.confirmDigest(digestState{
			DataCentre: f.DataCentre, Hash: answer.Hash, Age: c.o.Now().Sub(sent), Versions: answer.Versions,
		})
		return true
	}
	c.table.applyDigest(f.DataCentre, answer.Members)
	return true
}

func (c *Cluster) knownHash(dc goose.DataCentre) uint64 {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.table.digests[dc].hash
}

// serveFetch answers with the live members of a data centre, the own or another.
func (c *Cluster) serveFetch(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var f fetch
	if err := decode(&f); err != nil {
		return nil, err
	}
	return c.answerFetch(f), nil
}

// serveDigest answers the relay of another data centre. Its own digest is
// confirmed if it is the one known here. A different one is not fetched from the
// sender: while a data centre is split it has two relays, and only the one that
// this instance asks itself counts.
func (c *Cluster) serveDigest(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var f fetch
	if err := decode(&f); err != nil {
		return nil, err
	}
	if f.Own != nil {
		c.table.confirmDigest(*f.Own)
	}
	return c.answerFetch(f), nil
}

func (c *Cluster) answerFetch(f fetch) fetchAnswer {
	members := c.liveMembers(f.DataCentre)
	hash := digestHash(members)
	if hash == f.Known {
		return fetchAnswer{Hash: hash, Unchanged: true, Versions: versionsOf(members)}
	}
	return fetchAnswer{Hash: hash, Members: members}
}

func (c *Cluster) liveMembers(dc goose.DataCentre) []goose.Member {
	var members []goose.Member
	for _, m := range c.Members() {
		if m.DataCentre == dc && m.Live {
			members = append(members, m)
		}
	}
	return members
}
