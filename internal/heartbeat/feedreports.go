package heartbeat

// FeedReport tells what a daemon knows of the objects of a kind in the external store. Heartbeats
// carry it, since a datagram arrives whichever connections have fallen silent.
type FeedReport struct {
	Kind string `json:"kind"`
	// Epoch and Revision are the position of the last change that the daemon knows.
	Epoch    uint64 `json:"epoch,omitempty"`
	Revision uint64 `json:"revision"`
	// AgeMillis is how long ago the store last showed that there is no later change.
	AgeMillis int64 `json:"age_ms"`
}

// FeedReporter makes and handles the reports on the feeds of a daemon. It is safe for concurrent
// use and doesn't block.
type FeedReporter interface {
	// Reports returns the reports on the daemon's own feeds.
	Reports() []FeedReport
	// HandleReports handles the reports of another daemon of the zone.
	HandleReports(reports []FeedReport)
}

// noFeeds is the FeedReporter of a daemon without feeds.
type noFeeds struct{}

// Reports implements FeedReporter.
func (noFeeds) Reports() []FeedReport { return nil }

// HandleReports implements FeedReporter.
func (noFeeds) HandleReports([]FeedReport) {}
