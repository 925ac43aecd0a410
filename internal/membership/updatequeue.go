package membership

import "container/list"

// updateQueue contains entries by how often they were sent, in each class in the order in which they came to
// it. Sorting all members for each message would cost each host their number several times a second.
type updateQueue struct {
	classes []*list.List
}

// requeue moves an entry, which has been sent the given number of times, to the end of its class.
func (q *updateQueue) requeue(e *entry, sends int) {
	q.remove(e)
	for len(q.classes) <= sends {
		q.classes = append(q.classes, list.New())
	}
	e.sends = sends
	e.queued = q.classes[sends].PushBack(e)
}

// remove removes an entry that is queued.
func (q *updateQueue) remove(e *entry) {
	if e.queued != nil {
		q.classes[e.sends].Remove(e.queued)
		e.queued = nil
	}
}

// take returns up to n members that were sent least often, and less than limit times, and counts them as sent.
func (q *updateQueue) take(n, limit int) []Member {
	taken := make([]*entry, 0, n)
	for _, class := range q.classes[:min(limit, len(q.classes))] {
		for at := class.Front(); at != nil && len(taken) < n; at = at.Next() {
			if e, ok := at.Value.(*entry); ok {
				taken = append(taken, e)
			}
		}
	}
	members := make([]Member, len(taken))
	for i, e := range taken {
		members[i] = e.member
		q.requeue(e, e.sends+1)
	}
	return members
}
