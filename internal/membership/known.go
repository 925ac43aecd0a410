package membership

import "time"

// knownChanged forgets what depends on the known members.
func (t *Table) knownChanged() {
	t.knownCount = 0
	clear(t.knownRanks)
}

// expireList ends the time in which members that are only known from the list of hosts count as
// known. The list also has hosts that ended long ago.
func (t *Table) expireList(now time.Time) {
	if t.firstTick.IsZero() {
		t.firstTick = now
	}
	if !t.listExpired && now.Sub(t.firstTick) > t.params.ForgetAfter {
		t.listExpired = true
		t.knownChanged()
	}
}

// known reports whether a member has been known within the last ForgetAfter.
func (t *Table) known(m *Member) bool { return m.Incarnation > 0 || !t.listExpired }

// KnownCount returns the number of members that have been known within the last ForgetAfter,
// whether or not they are alive, including the host itself. Hosts that this one can't reach count,
// since they may be alive. So do, for ForgetAfter from the start of the host, members that are only
// known from the list of hosts. A call between two changes of the table costs the same at any
// number of members.
func (t *Table) KnownCount() int {
	if t.knownCount == 0 {
		t.knownCount = 1
		for _, e := range t.entries {
			if t.known(&e.member) {
				t.knownCount++
			}
		}
	}
	return t.knownCount
}

// KnownRank is like Rank among the members that KnownCount counts.
func (t *Table) KnownRank(name string) int {
	if rank, found := t.knownRanks[name]; found {
		return rank
	}
	own := ownerHash(t.self.Name, name)
	rank := 0
	for _, e := range t.entries {
		if t.known(&e.member) && ownerHash(e.member.Name, name) > own {
			rank++
		}
	}
	if t.knownRanks == nil || len(t.knownRanks) >= maxResults {
		t.knownRanks = map[string]int{}
	}
	t.knownRanks[name] = rank
	return rank
}
