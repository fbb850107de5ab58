package goosepeer

import "time"

// closeIdle closes connections without calls. Every open connection costs
// keep-alive packets each second at both ends, so calls to changing members
// would in time connect every pair of a large fleet.
func (l *Link) closeIdle() {
	t := time.NewTicker(unusedTimeout / 2)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.closeUnused(time.Now().Add(-unusedTimeout))
		case <-l.ctx.Done():
			return
		}
	}
}

// closeUnused closes and forgets connections whose last call ended before a time.
func (l *Link) closeUnused(before time.Time) {
	l.connMu.Lock()
	defer l.connMu.Unlock()
	for address, p := range l.conns {
		select {
		case <-p.ready:
		default:
			continue
		}
		if p.calls > 0 || p.ended.After(before) {
			continue
		}
		delete(l.conns, address)
		if p.conn != nil {
			_ = p.conn.CloseWithError(0, "unused")
		}
	}
}
