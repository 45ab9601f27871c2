package membership

import (
	"math/bits"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxNews bounds the records that a ping or its answer carries.
	maxNews = 6
	// newsFactor times the logarithm of the number of members is how often a
	// record is sent on.
	newsFactor = 3
)

// rumor is a record that is still sent on.
type rumor struct {
	record Record
	left   int
}

// spread puts a record on the next messages.
func (d *Detector) spread(record Record) {
	times := newsFactor * bits.Len(uint(len(d.members)+1))
	d.rumors[record.Name] = &rumor{record: record, left: times}
}

// tell sends a record to a few members at once.
func (d *Detector) tell(records ...Record) {
	for _, name := range d.pick(fanOut, "") {
		d.send(Action{Kind: SendGossip, To: d.members[name].Record, Message: d.message(records...)})
	}
}

// message returns a message with the given records, or with the latest news.
func (d *Detector) message(records ...Record) Message {
	if len(records) == 0 {
		records = d.news()
	}
	return Message{From: d.self, Records: records, Digest: d.digest()}
}

// news takes the records that were sent on least.
func (d *Detector) news() []Record {
	if len(d.rumors) == 0 {
		return nil
	}
	names := make([]string, 0, len(d.rumors))
	for name := range d.rumors {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := d.rumors[names[i]], d.rumors[names[j]]
		if a.left != b.left {
			return a.left > b.left
		}
		return names[i] < names[j]
	})
	var records []Record
	for _, name := range names[:min(maxNews, len(names))] {
		records = append(records, d.rumors[name].record)
		d.rumors[name].left--
		if d.rumors[name].left == 0 {
			delete(d.rumors, name)
		}
	}
	return records
}

// digest identifies the set of members that are up, with their epochs.
func (d *Detector) digest() uint64 {
	sum := d.self.digest()
	for _, m := range d.members {
		if m.confirmed && !m.State.down() {
			sum += m.digest()
		}
	}
	return sum
}

func (r Record) digest() uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(r.Name)
	_, _ = hash.WriteString(string(r.State))
	var epoch [8]byte
	for i := range epoch {
		epoch[i] = byte(r.Epoch >> (8 * i))
	}
	_, _ = hash.Write(epoch[:])
	return hash.Sum64()
}

// Pinged takes a ping or gossip and returns the answer. The actions are valid
// until the next event.
func (d *Detector) Pinged(now time.Time, ping Message) (answer Message, actions []Action) {
	d.actions = d.actions[:0]
	d.receive(now, ping)
	answer = d.message()
	if m := d.members[ping.From.Name]; m != nil && m.Record != ping.From {
		answer.Records = append(answer.Records, m.Record)
	}
	return answer, d.actions
}

// Synced takes all records of another member and returns this daemon's. The
// actions are valid until the next event.
func (d *Detector) Synced(now time.Time, message Message) (answer Message, actions []Action) {
	d.actions = d.actions[:0]
	d.receive(now, message)
	return d.full(), d.actions
}

// full returns a message with all records of members that are known.
func (d *Detector) full() Message {
	var records []Record
	for _, name := range d.names(func(m *member) bool { return m.confirmed }) {
		records = append(records, d.members[name].Record)
	}
	return Message{From: d.self, Records: records, Digest: d.digest()}
}

// reconcile exchanges all records with a member whose view differs.
func (d *Detector) reconcile(now time.Time, answer Message) {
	if answer.Digest == d.digest() || d.nextSync.After(now) {
		return
	}
	d.nextSync = now.Add(syncPeriod)
	d.send(Action{Kind: SendSync, To: answer.From, Message: d.full()})
}

// receive takes the records of a message and passes on what is new.
func (d *Detector) receive(now time.Time, message Message) {
	var changed []Record
	for _, record := range append([]Record{message.From}, message.Records...) {
		if d.merge(now, record) {
			changed = append(changed, record)
		}
	}
	if len(changed) > 0 {
		d.tell(changed...)
	}
}

// merge takes one record and reports whether it is news.
func (d *Detector) merge(now time.Time, record Record) bool {
	if record.Name == "" {
		return false
	}
	if record.Name == d.self.Name {
		d.refute(record)
		return false
	}
	m := d.members[record.Name]
	if m == nil {
		if record.State.down() {
			return false
		}
		m = &member{}
		d.members[record.Name] = m
	}
	if m.confirmed && !record.supersedes(m.Record) {
		return false
	}
	if m.State != record.State {
		m.since = now
	}
	m.Record = record
	m.confirmed = true
	d.spread(record)
	return true
}

// refute contradicts a record of this daemon that isn't its own.
func (d *Detector) refute(record Record) {
	if record.Epoch < d.self.Epoch || record == d.self {
		return
	}
	if record.Epoch == d.self.Epoch && record.State.rank() <= d.self.State.rank() && record.Incarnation == d.self.Incarnation {
		return
	}
	d.refutations++
	d.self.Epoch = record.Epoch + 1
	d.spread(d.self)
	d.tell(d.self)
}
