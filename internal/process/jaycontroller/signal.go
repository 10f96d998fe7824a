package jaycontroller

import "sync"

// notice wakes everyone who waits for a change.
type notice struct {
	mutex sync.Mutex
	c     chan struct{}
}

// wait returns a channel that is closed at the next change.
func (n *notice) wait() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.c == nil {
		n.c = make(chan struct{})
	}
	return n.c
}

func (n *notice) broadcast() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.c != nil {
		close(n.c)
		n.c = nil
	}
}

// Poke leaves a signal in a channel of capacity one.
func Signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
