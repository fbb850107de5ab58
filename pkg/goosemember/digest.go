package goosemember

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
)

// digestMargin allows for late tickers, so that a data centre that was called in
// the last exchange is called again in the next one.
const digestMargin = DigestInterval / 10

// versions holds the configuration versions in force at the members of a digest.
type versions struct {
	// Version is the version of all members that Others does not contain.
	Version int64                      `cbor:"1,keyasint"`
	Others  map[goose.InstanceID]int64 `cbor:"2,keyasint,omitempty"`
}

func (v versions) forMember(id goose.InstanceID) int64 {
	if other, ok := v.Others[id]; ok {
		return other
	}
	return v.Version
}

// versionsOf returns the versions of the members, with as few of them in Others
// as possible.
func versionsOf(members []goose.Member) versions {
	counts := map[int64]int{}
	var v versions
	for _, m := range members {
		if counts[m.Version]++; counts[m.Version] > counts[v.Version] {
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

// exchangeDigests exchanges digests with one member of every other data centre
// that has not confirmed its digest within the last interval, if this instance is
// the relay of its own data centre. One call confirms both digests, so a pair of
// data centres needs one call per interval.
func (c *Cluster) exchangeDigests(ctx context.Context) {
	if c.Relay(c.opts.Self.DataCentre) != c.opts.Self.Instance {
		return
	}
	members := c.liveMembers(c.opts.Self.DataCentre)
	ownDigest := digestSummary{DataCentre: c.opts.Self.DataCentre, Hash: digestHash(members), Versions: versionsOf(members)}
	var calls conc.WaitGroup
	for dc, addresses := range c.remoteAddresses() {
		age := c.table.digestAge(dc)
		if age < DigestInterval-digestMargin {
			continue
		}
		req := fetchRequest{DataCentre: dc}
		if age < 2*DigestInterval {
			req.OwnDigest = &ownDigest
		}
		calls.Go(func() {
			for _, address := range addresses {
				if c.fetchDigest(ctx, address, kindDigest, req) {
					return
				}
			}
		})
	}
	calls.Wait()
}

// maxRemoteCandidates bounds how many members of a data centre are called in
// turn.
const maxRemoteCandidates = 3

// remoteAddresses returns a few addresses of every other data centre, those of
// members that count as live first.
func (c *Cluster) remoteAddresses() map[goose.DataCentre][]string {
	byDC := map[goose.DataCentre][]string{}
	for _, wantLive := range []bool{true, false} {
		for _, m := range c.Members() {
			if m.DataCentre == c.opts.Self.DataCentre || m.Live != wantLive || len(byDC[m.DataCentre]) >= maxRemoteCandidates {
				continue
			}
			byDC[m.DataCentre] = append(byDC[m.DataCentre], m.Address)
		}
	}
	return byDC
}

// fetchDigest gets a data centre's digest from the instance at address, and
// returns whether that instance replied.
func (c *Cluster) fetchDigest(ctx context.Context, address, kind string, req fetchRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req.KnownHash = c.knownDigestHash(req.DataCentre)
	// The digest counts as confirmed at the time of sending, so that the next
	// exchange is due even if the reply takes long.
	sent := c.opts.Now()
	var reply fetchReply
	if err := c.opts.PeerClient.Call(ctx, address, kind, req, &reply); err != nil {
		return false
	}
	if reply.Unchanged {
		c.table.confirmDigest(digestSummary{
			DataCentre: req.DataCentre, Hash: reply.Hash, Age: c.opts.Now().Sub(sent), Versions: reply.Versions,
		})
		return true
	}
	c.table.applyDigest(req.DataCentre, reply.Members)
	return true
}

func (c *Cluster) knownDigestHash(dc goose.DataCentre) uint64 {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.table.digests[dc].hash
}

// serveFetch replies with the live members of any data centre.
func (c *Cluster) serveFetch(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var req fetchRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	return c.newFetchReply(req), nil
}

// serveDigest replies to the relay of another data centre. The digest that this
// relay sends is confirmed if its hash is the one known here. A different digest
// is not fetched from the sender: while a data centre is partitioned, it has two
// relays, and only the one that this instance calls itself counts.
func (c *Cluster) serveDigest(_ context.Context, _ goose.InstanceID, decode func(any) error) (any, error) {
	var req fetchRequest
	if err := decode(&req); err != nil {
		return nil, err
	}
	if req.OwnDigest != nil {
		c.table.confirmDigest(*req.OwnDigest)
	}
	return c.newFetchReply(req), nil
}

func (c *Cluster) newFetchReply(req fetchRequest) fetchReply {
	members := c.liveMembers(req.DataCentre)
	hash := digestHash(members)
	if hash == req.KnownHash {
		return fetchReply{Hash: hash, Unchanged: true, Versions: versionsOf(members)}
	}
	return fetchReply{Hash: hash, Members: members}
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
