package goosestand

import (
	"bufio"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// openJournal reads the executions of earlier processes from the journal and
// opens it for appending. Each line holds the hash, the request id and the path
// of one execution. A line that a kill truncated is skipped: its call has no
// response, and its execution does not count.
func (p *PlainService) openJournal() error {
	if p.cfg.Journal == "" {
		return nil
	}
	f, err := os.OpenFile(p.cfg.Journal, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "journal")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.journal = f
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var hash, id, path string
		if n, _ := fmt.Sscanf(lines.Text(), "%s %q %q", &hash, &id, &path); n == 3 {
			p.addExecution(hash, id, path)
		}
	}
	return errors.Wrap(lines.Err(), "journal")
}

// appendJournal writes an execution to the journal before the call's response is
// sent. The caller holds the lock.
func (p *PlainService) appendJournal(hash, id, path string) {
	if p.journal == nil {
		return
	}
	if _, err := fmt.Fprintf(p.journal, "%s %q %q\n", hash, id, path); err != nil {
		p.log.Error("journal", "error", err.Error())
	}
}

func (p *PlainService) closeJournal() {
	if p.journal != nil {
		_ = p.journal.Close()
	}
}
