package quarantine

import "sync"

const (
	// maxMessages is the number of messages of a Batcher that may be in progress.
	maxMessages = 32
	// maxBatch is the number of suspects in one message.
	maxBatch = 128
)

// Batcher sends announcements to other daemons. While too many messages are in progress it
// collects the announcements, and sends them in one message as soon as one has ended, so that
// none is lost in a storm of deaths. It is safe for concurrent use.
type Batcher struct {
	// send sends a message and waits for the answers.
	send func(suspects []Suspect) Answers

	mu         sync.Mutex
	inProgress int
	waiting    []announcement
}

type announcement struct {
	suspect Suspect
	done    func(Answers)
}

// NewBatcher returns a batcher. Send sends a message and returns once it is answered or has
// timed out; it is called concurrently.
func NewBatcher(send func(suspects []Suspect) Answers) *Batcher { return &Batcher{send: send} }

// Announce sends a suspect and calls done with the answers to the message. It doesn't block.
func (b *Batcher) Announce(suspect Suspect, done func(Answers)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, announcement{suspect: suspect, done: done})
	if b.inProgress < maxMessages {
		b.inProgress++
		go b.run()
	}
}

// run sends messages until nothing waits.
func (b *Batcher) run() {
	for batch := b.next(); len(batch) > 0; batch = b.next() {
		var suspects []Suspect
		for _, announced := range batch {
			suspects = append(suspects, announced.suspect)
		}
		answers := b.send(suspects)
		for _, announced := range batch {
			announced.done(answers)
		}
	}
}

// next takes the announcements of the next message. If there are none, the caller has to end.
func (b *Batcher) next() []announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := min(len(b.waiting), maxBatch)
	batch := b.waiting[:count:count]
	b.waiting = b.waiting[count:]
	if count == 0 {
		b.inProgress--
		b.waiting = nil
	}
	return batch
}
