package goosepeer

import "time"

// closeUnusedLoop closes connections that have had no call for unusedConnTimeout.
// Every open connection costs keep-alive packets each second at both ends, and calls
// to changing members would in time leave one between every two instances of a large
// fleet.
func (l *Link) closeUnusedLoop() {
	t := time.NewTicker(unusedConnTimeout / 2)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.closeUnusedConns(time.Now().Add(-unusedConnTimeout))
		case <-l.ctx.Done():
			return
		}
	}
}

// closeUnusedConns closes and removes the connections that have no call in progress
// and whose last call ended at the given time or earlier.
func (l *Link) closeUnusedConns(before time.Time) {
	l.connMu.Lock()
	defer l.connMu.Unlock()
	for address, p := range l.conns {
		select {
		case <-p.dialled:
		default:
			continue
		}
		if p.calls > 0 || p.lastCallEnded.After(before) {
			continue
		}
		delete(l.conns, address)
		if p.conn != nil {
			_ = p.conn.CloseWithError(0, "unused")
		}
	}
}
