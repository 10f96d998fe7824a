package jaycontroller

import "sync"

// changeNotifier wakes all goroutines that wait for a change.
type changeNotifier struct {
	mutex sync.Mutex
	c     chan struct{}
}

// changed returns a channel that is closed at the next change.
func (n *changeNotifier) changed() <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.c == nil {
		n.c = make(chan struct{})
	}
	return n.c
}

func (n *changeNotifier) broadcast() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.c != nil {
		close(n.c)
		n.c = nil
	}
}

// Signal sends to a channel of capacity one without blocking.
func Signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
