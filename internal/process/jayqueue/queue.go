// Package jayqueue holds the requests that wait for a runner's slot: bounded
// queues by workspace and class, each ordered by deadline, with weighted fair
// queueing between workspaces. It has no clock.
package jayqueue

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/google/btree"

	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Item is one waiting request.
type Item struct {
	ID        string
	Workspace string
	Class     jayjob.Class
	Arrived   time.Duration
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Duration
	// Share is the workspace's weight in fair queueing.
	Share int
}

// never is the deadline of an item without one.
const never = time.Duration(1<<63 - 1)

func (i Item) deadlineOrNever() time.Duration {
	if i.Deadline == 0 {
		return never
	}
	return i.Deadline
}

// FullError reports a full queue.
type FullError struct {
	Workspace string
	Class     jayjob.Class
	Limit     int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("workspace %s has %d %s jobs waiting already", e.Workspace, e.Limit, e.Class)
}

type queueKey struct {
	workspace string
	class     jayjob.Class
}

type classQueue struct {
	items *btree.BTreeG[Item]
}

func newClassQueue() *classQueue {
	return &classQueue{items: btree.NewG(16, func(a, b Item) bool {
		if a.deadlineOrNever() != b.deadlineOrNever() {
			return a.deadlineOrNever() < b.deadlineOrNever()
		}
		if a.Arrived != b.Arrived {
			return a.Arrived < b.Arrived
		}
		return a.ID < b.ID
	})}
}

// Queue holds the waiting requests. It is not safe for concurrent use.
type Queue struct {
	queues map[queueKey]*classQueue
	items  map[string]Item
	// virtualTimes is each workspace's virtual time: service received over share.
	virtualTimes map[string]float64
	// virtualNow is the greatest virtual time at which a request was served.
	virtualNow float64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{queues: map[queueKey]*classQueue{}, items: map[string]Item{}, virtualTimes: map[string]float64{}}
}

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.items) }

// LenIn returns how many requests of a workspace and class wait.
func (q *Queue) LenIn(workspace string, class jayjob.Class) int {
	if waiting := q.queues[queueKey{workspace, class}]; waiting != nil {
		return waiting.items.Len()
	}
	return 0
}

// Push adds a request, or returns a FullError if its queue already holds limit
// requests.
func (q *Queue) Push(i Item, limit int) error {
	k := queueKey{i.Workspace, i.Class}
	waiting := q.queues[k]
	if waiting == nil {
		waiting = newClassQueue()
		q.queues[k] = waiting
	}
	if waiting.items.Len() >= limit {
		return &FullError{Workspace: i.Workspace, Class: i.Class, Limit: limit}
	}
	if q.idle(i.Workspace) {
		// A workspace gets no credit for the time it was idle.
		q.virtualTimes[i.Workspace] = max(q.virtualTimes[i.Workspace], q.virtualNow)
	}
	waiting.items.ReplaceOrInsert(i)
	q.items[i.ID] = i
	return nil
}

func (q *Queue) idle(workspace string) bool {
	for _, c := range jayjob.Classes {
		if q.LenIn(workspace, c) > 0 {
			return false
		}
	}
	return true
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue) Remove(id string) bool {
	i, ok := q.items[id]
	if !ok {
		return false
	}
	delete(q.items, id)
	k := queueKey{i.Workspace, i.Class}
	q.queues[k].items.Delete(i)
	if q.queues[k].items.Len() == 0 {
		delete(q.queues, k)
	}
	return true
}

// Pop removes and returns the next request: of the most urgent class that has any,
// from the workspace with the least service for its share. Source: start-time fair
// queueing, P. Goyal et al., 1996.
func (q *Queue) Pop() (Item, bool) {
	for _, c := range jayjob.Classes {
		if i, ok := q.popClass(c); ok {
			return i, true
		}
	}
	return Item{}, false
}

func (q *Queue) popClass(c jayjob.Class) (Item, bool) {
	best := ""
	found := false
	for k := range q.queues {
		if k.class != c {
			continue
		}
		if !found || q.virtualTimes[k.workspace] < q.virtualTimes[best] || (q.virtualTimes[k.workspace] == q.virtualTimes[best] && k.workspace < best) {
			best, found = k.workspace, true
		}
	}
	if !found {
		return Item{}, false
	}
	i, _ := q.queues[queueKey{best, c}].items.Min()
	q.Remove(i.ID)
	q.virtualNow = max(q.virtualNow, q.virtualTimes[best])
	q.virtualTimes[best] += 1 / float64(max(i.Share, 1))
	return i, true
}

// Requeue puts a popped request back and refunds the service that Pop charged.
func (q *Queue) Requeue(i Item) {
	_ = q.Push(i, math.MaxInt)
	q.virtualTimes[i.Workspace] -= 1 / float64(max(i.Share, 1))
}

// Ahead estimates how many requests are served before a new one of the workspace
// and class, with equal service for all workspaces.
func (q *Queue) Ahead(workspace string, class jayjob.Class) int {
	own := 0
	for c := range class + 1 {
		own += q.LenIn(workspace, c)
	}
	ahead := own
	for k, waiting := range q.queues {
		if k.workspace != workspace && k.class <= class {
			ahead += min(waiting.items.Len(), own+1)
		}
	}
	return ahead
}

// RemoveExpired removes and returns the requests that can no longer be answered in
// time: their deadline is at most the needed time away.
func (q *Queue) RemoveExpired(now, needed time.Duration) []Item {
	var expired []Item
	for _, waiting := range q.queues {
		waiting.items.Ascend(func(i Item) bool {
			if i.deadlineOrNever() == never || i.deadlineOrNever()-now > needed {
				return false
			}
			expired = append(expired, i)
			return true
		})
	}
	for _, i := range expired {
		q.Remove(i.ID)
	}
	sort.Slice(expired, func(a, b int) bool { return expired[a].ID < expired[b].ID })
	return expired
}
