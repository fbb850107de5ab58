package gooseengine

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// reportConnLifetime bounds the use of one connection for load reports. A process that is
// being replaced may still respond on open connections while its successor accepts new
// ones.
const reportConnLifetime = 5 * time.Second

// reports holds the open connections for load reports of this process.
var reports reportConns

// reportConns holds open connections for load reports, at most one per address. A
// dispatcher fetches a report from each of its replicas twice a second, and opening a
// connection takes more processor time than the rest of the call.
type reportConns struct {
	mu        sync.Mutex
	idle      map[string]reportConn
	lastSweep time.Time
}

type reportConn struct {
	*exchange
	opened time.Time
}

// fetch fills resp with the load report of the engine at address. The request has no side
// effects, so it is retried on a new connection if it fails on a reused one.
func (c *reportConns) fetch(ctx context.Context, address string, resp *fasthttp.Response) error {
	if x, ok := c.take(address); ok {
		x.watchContext(ctx)
		err := x.fetchReport(address, resp)
		if err == nil {
			c.put(address, x, resp)
			return nil
		}
		x.close()
		if ctx.Err() != nil {
			return disconnected(x.causeOf(err))
		}
	}
	fresh, err := connect(ctx, address)
	if err != nil {
		return err
	}
	if err := fresh.fetchReport(address, resp); err != nil {
		fresh.close()
		return disconnected(fresh.causeOf(err))
	}
	c.put(address, reportConn{fresh, time.Now()}, resp)
	return nil
}

func (c *reportConns) take(address string) (reportConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, ok := c.idle[address]
	delete(c.idle, address)
	// Reports name no request: a late second copy of one would be taken for the next report.
	if ok && (time.Since(x.opened) >= reportConnLifetime || x.hasUnreadData()) {
		_ = x.conn.Close()
		return reportConn{}, false
	}
	return x, ok
}

// put keeps the connection for the next report. It closes the connection if the context
// has ended, which may have broken it, if the engine closes it, or if more than the report
// has arrived.
func (c *reportConns) put(address string, x reportConn, resp *fasthttp.Response) {
	if !x.stopContextWatch() || resp.ConnectionClose() || x.hasUnreadData() {
		_ = x.conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.idle[address]; ok {
		_ = other.conn.Close()
	}
	if c.idle == nil {
		c.idle = map[string]reportConn{}
	}
	c.idle[address] = x
	c.sweep()
}

// sweep closes the connections to engines from which no reports are fetched any more.
func (c *reportConns) sweep() {
	now := time.Now()
	if now.Sub(c.lastSweep) < reportConnLifetime {
		return
	}
	c.lastSweep = now
	for address, x := range c.idle {
		if now.Sub(x.opened) >= reportConnLifetime {
			_ = x.conn.Close()
			delete(c.idle, address)
		}
	}
}
