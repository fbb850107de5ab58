package gooseengine

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// reportLifetime bounds the use of one connection for load reports. A process
// that is being replaced may answer on open connections while its successor
// takes new ones.
const reportLifetime = 5 * time.Second

// reports keeps the connections of load reports.
var reports reportConns

// reportConns are open connections for load reports, at most one per address. A
// dispatcher asks each of its replicas twice a second, and opening a connection
// takes more processor time than the rest of the call.
type reportConns struct {
	mu    sync.Mutex
	idle  map[string]reportConn
	swept time.Time
}

type reportConn struct {
	*exchange
	opened time.Time
}

// ask fills resp with the load report of the engine at address. A report has no
// effect, so that one that fails on a used connection is asked for again on a
// new one.
func (c *reportConns) ask(ctx context.Context, address string, resp *fasthttp.Response) error {
	if x, ok := c.take(address); ok {
		x.watch(ctx)
		err := x.metrics(address, resp)
		if err == nil {
			c.put(address, x, resp)
			return nil
		}
		x.close()
		if ctx.Err() != nil {
			return disconnected(x.cause(err))
		}
	}
	fresh, err := connect(ctx, address)
	if err != nil {
		return err
	}
	if err := fresh.metrics(address, resp); err != nil {
		fresh.close()
		return disconnected(fresh.cause(err))
	}
	c.put(address, reportConn{fresh, time.Now()}, resp)
	return nil
}

func (c *reportConns) take(address string) (reportConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x, ok := c.idle[address]
	delete(c.idle, address)
	if ok && time.Since(x.opened) >= reportLifetime {
		_ = x.conn.Close()
		return reportConn{}, false
	}
	return x, ok
}

// put keeps the connection for the next report, unless its context has ended,
// which may have broken it, or the engine closes it.
func (c *reportConns) put(address string, x reportConn, resp *fasthttp.Response) {
	if !x.unwatch() || resp.ConnectionClose() {
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

// sweep closes connections of engines that are no longer asked.
func (c *reportConns) sweep() {
	now := time.Now()
	if now.Sub(c.swept) < reportLifetime {
		return
	}
	c.swept = now
	for address, x := range c.idle {
		if now.Sub(x.opened) >= reportLifetime {
			_ = x.conn.Close()
			delete(c.idle, address)
		}
	}
}
