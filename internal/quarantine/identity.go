package quarantine

import "time"

// Identity identifies a request in two ways. A request that crashes whatever target runs it may come
// from many callers, and one that crashes targets only for one caller must not be cleared by the
// responses to others.
type Identity struct {
	// Content identifies what is requested, whoever requests it.
	Content Content
	// ByCaller identifies the content together with its caller. 0 if callers aren't told apart.
	ByCaller Content
}

func (f *FailedRequest) identity() Identity {
	return Identity{Content: f.Content, ByCaller: f.ByCaller}
}

// quarantinedEither reports whether a request must not be run, by its content or by its content and
// caller.
func (t *Tracker) quarantinedEither(now time.Time, id Identity) bool {
	return t.Quarantined(now, id.Content) || t.Quarantined(now, id.ByCaller)
}

// describe returns the suspect by which other daemons are asked about a request: that of its
// content, or that of its content and caller if only that one is suspected.
func (t *Tracker) describe(now time.Time, id Identity) Suspect {
	for _, content := range []Content{id.Content, id.ByCaller} {
		if suspect := t.find(now, content); suspect != nil {
			return t.copy(now, suspect)
		}
	}
	return Suspect{}
}
