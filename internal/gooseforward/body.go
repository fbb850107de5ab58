package gooseforward

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/gooseberryhold/gooseberryhold/internal/goosebody"
	"github.com/gooseberryhold/gooseberryhold/pkg/goose"
	"github.com/gooseberryhold/gooseberryhold/pkg/goosememory"
)

const (
	// defaultBodyBytes bounds a body if the routing sets no bound.
	defaultBodyBytes = 8 << 20
	// defaultMemoryBytes is assumed if the memory of the machine is unknown.
	defaultMemoryBytes = 256 << 20
	// maxMemoryWait and memoryWaitDivisor bound how long a request waits for memory, as a
	// duration and as a part of its time. Its body is not read meanwhile.
	maxMemoryWait     = time.Second
	memoryWaitDivisor = 4
	// bodyRetryAfter is the least Retry-After of a request that got no memory; a random part of
	// up to the same length is added.
	bodyRetryAfter = time.Second
)

// readBody reads the complete body, so that the request can be sent again. If it returns a
// refusal, the caller may have been sent one already.
func (c *call) readBody() (goose.Refusal, bool) {
	limit := c.bodyLimit()
	if c.r.ContentLength > limit {
		return c.refusedBody(tooLarge(limit)), false
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(c.deadline)
	watch := c.watchDrain()
	body, err := c.readBounded(limit)
	if watch.end() {
		return goose.Refusal{}, false
	}
	if refusal, ok := bodyRefusal(err, int64(len(body)), limit); !ok {
		return c.refusedBody(refusal), false
	}
	_ = control.SetReadDeadline(time.Time{})
	c.body = body
	c.subjects.Request = goose.NewFingerprint(c.workspace.Name, "", body).WithTarget(c.r.Method, c.r.RequestURI)
	for _, part := range c.header.SharedParts {
		c.subjects.Parts = append(c.subjects.Parts, goose.NewPartFingerprint(c.header.Model, part))
	}
	return goose.Refusal{}, true
}

// refusedBody counts a refusal because of the body, and returns it.
func (c *call) refusedBody(r goose.Refusal) goose.Refusal {
	c.o.Metrics.countBodyRefusal(r)
	return r
}

// bodyLimit returns the length of the longest body that is read.
func (c *call) bodyLimit() int64 {
	if table := c.snapshot.Table; table != nil && table.Limits().BodyBytes > 0 {
		return table.Limits().BodyBytes
	}
	return defaultBodyBytes
}

// readBounded reads the body once there is memory for it.
func (c *call) readBounded(limit int64) ([]byte, error) {
	if c.r.ContentLength == 0 {
		return nil, nil
	}
	body, held, err := c.bodyMemory.read(c.ctx, bodySource{
		Reader: c.incoming, conn: c.conn, owners: c.owners, length: c.r.ContentLength, limit: limit,
		wait: min(maxMemoryWait, c.deadline.Sub(c.arrived)/memoryWaitDivisor), cut: c.cutBody,
	})
	c.heldBody = held
	return body, err
}

// owners returns who is accountable for the memory of the request: the workspace, and the address
// without which a crowd without a known key would share nothing.
func (c *call) owners() []goosememory.Owner {
	owners := make([]goosememory.Owner, 0, 2)
	if c.workspace.Name != "" {
		owners = append(owners, goosememory.Owner("workspace "+c.workspace.Name))
	}
	if host, _, err := net.SplitHostPort(c.r.RemoteAddr); err == nil {
		owners = append(owners, goosememory.Owner("address "+host))
	}
	return owners
}

// bodyRefusal returns a refusal if a body could not be read or is too long.
func bodyRefusal(err error, length, limit int64) (goose.Refusal, bool) {
	switch {
	case errors.Is(err, errNoBodyMemory):
		return goose.NotRunRefusal(goose.CodeNotReady, "the bodies of other requests take all memory").
			WithReason("body-memory").WithRetryAfter(bodyRetryAfter + rand.N(bodyRetryAfter)), false
	case errors.Is(err, errSlowBody):
		return goose.NotRunRefusal(goose.CodeRequestTimeout, "the body arrives too slowly while others need its memory or its connection").
			WithReason("slow-body").WithRetryAfter(bodyRetryAfter + rand.N(bodyRetryAfter)), false
	case errors.Is(err, goosebody.ErrChunkOverhead):
		return goose.NotRunRefusal(goose.CodeBadRequest, err.Error()).WithReason("chunk-overhead"), false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return goose.NotRunRefusal(goose.CodeRequestTimeout, "the request's time was over before its body had arrived"), false
	case err != nil:
		return goose.NotRunRefusal(goose.CodeBadRequest, "the body did not arrive whole: "+err.Error()), false
	case length > limit:
		return tooLarge(limit), false
	}
	return goose.Refusal{}, true
}

func tooLarge(limit int64) goose.Refusal {
	return goose.NotRunRefusal(goose.CodePromptTooLong, fmt.Sprintf("the body exceeds %d bytes", limit))
}
