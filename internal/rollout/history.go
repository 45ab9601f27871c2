package rollout

import (
	"sort"
)

func assemble(base Head, entry HistoryEntry, refs map[string]ServiceRef) Head {
	next := Head{
		Revision:   entry.Revision,
		AcceptedBy: entry.AcceptedBy,
		AcceptedAt: entry.AcceptedAt,
		AcceptID:   entry.AcceptID,
		History:    appendHistory(base.History, entry),
	}
	for _, ref := range refs {
		next.Services = append(next.Services, ref)
	}
	sort.Slice(next.Services, func(i, j int) bool { return next.Services[i].Name < next.Services[j].Name })
	return next
}

func (e *HistoryEntry) remove(ref ServiceRef) {
	e.Replaced = append(e.Replaced, ref)
	if len(e.Removed) == historyNames {
		e.More++
		return
	}
	e.Removed = append(e.Removed, ref.Name)
}

func (e *HistoryEntry) replace(old, next ServiceRef) {
	if old == next {
		return
	}
	if old.Hash != "" {
		e.Replaced = append(e.Replaced, old)
	}
	if len(e.Changed) == historyNames {
		e.More++
		return
	}
	e.Changed = append(e.Changed, next.Name)
}

// appendHistory returns the history with entry in front. Bodies that every
// deletion round has passed are no longer listed.
func appendHistory(history []HistoryEntry, entry HistoryEntry) []HistoryEntry {
	next := append([]HistoryEntry{entry}, history...)
	if len(next) > historyLimit {
		next = next[:historyLimit]
	}
	for i := range next {
		if next[i].Revision+bodyRetention+deleteRounds <= entry.Revision {
			next[i].Replaced = nil
		}
	}
	return next
}

// replacedBodies returns the bodies whose retention is over at head.
func replacedBodies(head Head) []ServiceRef {
	var refs []ServiceRef
	for _, entry := range head.History {
		if entry.Revision+bodyRetention <= head.Revision {
			refs = append(refs, entry.Replaced...)
		}
	}
	return refs
}
