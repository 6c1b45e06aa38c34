package fleet

import "time"

// Stage is how far a work has got.
type Stage uint8

// Stages of a work.
const (
	Reading Stage = iota // its prompt waits or is being read; for a plain service, it runs
	Writing              // it produces events
)

// Work is a call, or a part of one, that a replica is working on.
type Work struct {
	ID      uint32
	Stage   Stage
	Part    bool          // reads a part of a prompt for another replica
	Ahead   bool          // its prompt is split, and engines read parts before whole prompts
	Tokens  int           // KV memory that it will use at this replica
	Read    time.Duration // predicted time to read its prompt
	Goal    time.Time     // when its first event is due; zero for none
	GapGoal time.Duration // longest pause between events that is on time; 0 for none
	Value   float64       // what its being on time is worth
	Late    bool          // it is late already, so that further delay costs nothing
	Began   time.Time
	heard   time.Time // when another process last said that it has this work
}

// Ticket is a work of this process.
type Ticket struct {
	replica *Replica
	work    *Work
	onMove  func(rep uint32, wrk Work, ended bool)
}

// Begin books a work at a replica. The function onMove, if not nil, is told each change of it.
func (rep *Replica) Begin(wrk Work, onMove func(rep uint32, wrk Work, ended bool)) *Ticket {
	grp := rep.group
	grp.mu.Lock()
	grp.works++
	wrk.ID = grp.works
	wrk.Began = grp.clock.Now()
	rep.works[wrk.ID] = &wrk
	grp.demand.add(&wrk, wrk.Began)
	grp.mu.Unlock()
	tkt := &Ticket{replica: rep, work: &wrk, onMove: onMove}
	tkt.tell(wrk, false)
	return tkt
}

func (tkt *Ticket) tell(wrk Work, ended bool) {
	if tkt.onMove != nil {
		tkt.onMove(tkt.replica.hash, wrk, ended)
	}
}

// Wrote tells that the first event has come.
func (tkt *Ticket) Wrote() {
	tkt.change(func(wrk *Work) { wrk.Stage = Writing })
}

// Late tells that the call is late, so that its further delay costs nothing.
func (tkt *Ticket) Late() {
	tkt.change(func(wrk *Work) { wrk.Late = true })
}

func (tkt *Ticket) change(fn func(wrk *Work)) {
	grp := tkt.replica.group
	grp.mu.Lock()
	fn(tkt.work)
	wrk := *tkt.work
	grp.mu.Unlock()
	tkt.tell(wrk, false)
}

// End removes the work.
func (tkt *Ticket) End() {
	grp := tkt.replica.group
	grp.mu.Lock()
	delete(tkt.replica.works, tkt.work.ID)
	wrk := *tkt.work
	grp.mu.Unlock()
	tkt.tell(wrk, true)
}

// RemoteWork is a work of another process.
type RemoteWork struct {
	Replica uint32 // hash of the replica's ID
	Work    Work
	Ended   bool
	Moved   bool // only the stage, lateness and end of the work are known
}

// staleAfter is the time after which a work of another process is dropped unless it is heard of again. Processes repeat
// all that they have every two seconds, and datagrams may be lost.
const staleAfter = 4500 * time.Millisecond

// Hear takes in works of another process, and which of them have ended.
func (flt *Fleet) Hear(peer string, list []RemoteWork) {
	now := flt.clock.Now()
	for _, rem := range list {
		if rep := flt.hearer(peer, rem, now); rep != nil {
			rep.hear(peer, rem, now)
		}
	}
}

// hearer returns the replica that a work is at. It keeps the work for later and returns nil if the replica is not
// registered here.
func (flt *Fleet) hearer(peer string, rem RemoteWork, now time.Time) *Replica {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	rep := flt.byHash[rem.Replica]
	if rep == nil {
		flt.early.keep(peer, rem, now)
	}
	return rep
}

func (rep *Replica) hear(peer string, rem RemoteWork, now time.Time) {
	grp := rep.group
	grp.mu.Lock()
	defer grp.mu.Unlock()
	works := rep.remote[peer]
	if works == nil {
		works = make(map[uint32]*Work)
		rep.remote[peer] = works
	}
	if rem.Ended {
		delete(works, rem.Work.ID)
		return
	}
	old := works[rem.Work.ID]
	switch {
	case rem.Moved && old == nil:
		return // Its beginning was lost or comes later; the process repeats it.
	case rem.Moved:
		old.Stage, old.Late = rem.Work.Stage, rem.Work.Late
	case old == nil:
		if now.Sub(rem.Work.Began) < staleAfter {
			grp.demand.add(&rem.Work, now)
		}
		old = &rem.Work
		works[rem.Work.ID] = old
	default:
		*old = rem.Work
	}
	old.heard = now
}

// dropStale removes the works of other processes that have not been heard of for a while.
func (rep *Replica) dropStale(now time.Time) {
	for _, works := range rep.remote {
		for id, wrk := range works {
			if now.Sub(wrk.heard) > staleAfter {
				delete(works, id)
			}
		}
	}
}

// Forget drops the works of another process.
func (flt *Fleet) Forget(peer string) {
	flt.mu.Lock()
	flt.early.forget(peer)
	flt.mu.Unlock()
	for _, grp := range flt.all() {
		grp.mu.Lock()
		for _, rep := range grp.members {
			delete(rep.remote, peer)
		}
		grp.mu.Unlock()
	}
}

// Works returns all works of this process, for other processes.
func (flt *Fleet) Works() []RemoteWork {
	var list []RemoteWork
	for _, grp := range flt.all() {
		grp.mu.Lock()
		for _, rep := range grp.members {
			for _, wrk := range rep.works {
				list = append(list, RemoteWork{Replica: rep.hash, Work: *wrk})
			}
		}
		grp.mu.Unlock()
	}
	return list
}

// View is what is known of one replica at one moment.
type View struct {
	Replica    *Replica
	Rank       int // place in an order that is the same at all processes
	ID         string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	Cold       time.Duration // how much longer it is slow after its start
	Risk       float64       // predicted share of calls that fail
	Pace       float64       // time that it takes per time expected, at least 1
	Works      []Work
	Tokens     int           // KV memory in use, or promised
	Context    int           // tokens of the streams that are writing
	Writers    int           // streams that are writing
	Unread     time.Duration // predicted time until all prompts there have been read
	Ahead      time.Duration // predicted time until all parts of split prompts there have been read
}

// Views returns a view of each replica of the service that still takes calls.
func (grp *Group) Views() []View {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	now := grp.clock.Now()
	list := make([]View, 0, len(grp.members))
	for rank, rep := range grp.members {
		if rep.reg.Draining {
			continue
		}
		list = append(list, rep.view(rank, now))
	}
	return list
}

func (rep *Replica) view(rank int, now time.Time) View {
	vie := View{
		Replica: rep, Rank: rank, ID: rep.reg.ID, Address: rep.reg.Address, DataCentre: rep.reg.DataCentre,
		Slots: rep.reg.Slots, Risk: rep.health.risk(now), Pace: rep.health.slowness(now),
		Cold:  max(rep.reg.ColdLeft-now.Sub(rep.started), 0),
		Works: make([]Work, 0, len(rep.works)+len(rep.remote)),
	}
	rep.dropStale(now)
	all, ahead := reading{oldest: now}, reading{oldest: now}
	for _, wrk := range rep.works {
		vie.count(wrk, &all, &ahead)
	}
	for _, works := range rep.remote {
		for _, wrk := range works {
			vie.count(wrk, &all, &ahead)
		}
	}
	vie.Unread = all.left(now)
	vie.Ahead = min(ahead.left(now), vie.Unread)
	return vie
}

// reading is a sum of prompts that have not been read.
type reading struct {
	sum    time.Duration
	oldest time.Time // when the first of them came
}

func (rdg *reading) add(wrk *Work) {
	rdg.sum += wrk.Read
	if wrk.Began.Before(rdg.oldest) {
		rdg.oldest = wrk.Began
	}
}

// left returns what is left of the sum. The replica has been reading since the first prompt came, but a prediction that
// is past shows that it is slower.
func (rdg *reading) left(now time.Time) time.Duration {
	return max(rdg.sum-now.Sub(rdg.oldest), rdg.sum/4)
}

func (vie *View) count(wrk *Work, all, ahead *reading) {
	vie.Works = append(vie.Works, *wrk)
	vie.Tokens += wrk.Tokens
	if wrk.Stage == Writing {
		vie.Writers++
		vie.Context += wrk.Tokens
		return
	}
	all.add(wrk)
	if wrk.Ahead {
		ahead.add(wrk)
	}
}
