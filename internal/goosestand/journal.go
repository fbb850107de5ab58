package goosestand

import (
	"bufio"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// openJournal reads the executions of earlier processes and opens the journal
// for more. Each line holds hash, request id and path; a line that a kill cut
// off belongs to a call without an answer and an effect that was not noted.
func (p *Plain) openJournal() error {
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
			p.note(hash, id, path)
		}
	}
	return errors.Wrap(lines.Err(), "journal")
}

// record appends an execution before its answer. The caller holds the lock.
func (p *Plain) record(hash, id, path string) {
	if p.journal == nil {
		return
	}
	if _, err := fmt.Fprintf(p.journal, "%s %q %q\n", hash, id, path); err != nil {
		p.log.Error("journal", "error", err.Error())
	}
}

func (p *Plain) closeJournal() {
	if p.journal != nil {
		_ = p.journal.Close()
	}
}
