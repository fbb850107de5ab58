package gooserelay

import "time"

// dropOlderEra drops all that is known of an older era of the store: its revisions are assigned
// again, and a key may have another value at the same revision. The lock must be held.
func (r *Relay) dropOlderEra() {
	era := r.o.Era.Current()
	if era == r.era {
		return
	}
	r.era = era
	r.revision, r.confirmedAt, r.bases = 0, time.Time{}, nil
	r.source, r.assembly = source{}, assembly{}
	r.stopLeading("store restored")
}
