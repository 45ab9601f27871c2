package quarantine

// maxLifts is the maximum number of lifts that a Lifter sends at the same time.
const maxLifts = 32

// Lifter informs other daemons of contents that aren't suspected anymore. It is safe for
// concurrent use.
type Lifter struct {
	// send informs the other daemons and waits for their answers.
	send func(content Content)
	// inProgress holds one element for each lift that is being sent.
	inProgress chan struct{}
}

// NewLifter returns a lifter. Send informs the other daemons of a lift and returns once they have
// answered or the message has timed out; it is called concurrently.
func NewLifter(send func(content Content)) *Lifter {
	return &Lifter{send: send, inProgress: make(chan struct{}, maxLifts)}
}

// Lift informs the other daemons of a lift. It doesn't block. If too many lifts are in progress
// it returns false and sends nothing: the other daemons go on suspecting the content until it
// expires.
func (l *Lifter) Lift(content Content) bool {
	select {
	case l.inProgress <- struct{}{}:
	default:
		return false
	}
	go func() {
		l.send(content)
		<-l.inProgress
	}()
	return true
}
