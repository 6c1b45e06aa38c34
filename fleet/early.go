package fleet

import "time"

// mostEarly bounds the news of works at unknown replicas that is kept.
const mostEarly = 4096

// early is news of works at replicas that are not registered here yet. A process that has just started hears of all
// works of the others before it has read the registrations, and they do not repeat them for seconds.
type early struct {
	byHash map[uint32][]earlyWork // in the order of their arrival
	num    int
}

type earlyWork struct {
	peer  string
	work  RemoteTask
	heard time.Time
}

func (ear *early) keep(peer string, rem RemoteTask, now time.Time) {
	if ear.num >= mostEarly {
		ear.drop(now)
	}
	if ear.num >= mostEarly {
		return // The process that sent it repeats it within seconds.
	}
	if ear.byHash == nil {
		ear.byHash = make(map[uint32][]earlyWork)
	}
	ear.byHash[rem.Replica] = append(ear.byHash[rem.Replica], earlyWork{peer: peer, work: rem, heard: now})
	ear.num++
}

// take returns the news of a replica's works that is not stale, and forgets it.
func (ear *early) take(hash uint32, now time.Time) []earlyWork {
	var list []earlyWork
	for _, one := range ear.byHash[hash] {
		if now.Sub(one.heard) < staleAfter {
			list = append(list, one)
		}
	}
	ear.num -= len(ear.byHash[hash])
	delete(ear.byHash, hash)
	return list
}

// forget drops all news from a process.
func (ear *early) forget(peer string) {
	for hash, list := range ear.byHash {
		ear.set(hash, list, func(one earlyWork) bool { return one.peer != peer })
	}
}

// drop drops stale news.
func (ear *early) drop(now time.Time) {
	for hash, list := range ear.byHash {
		ear.set(hash, list, func(one earlyWork) bool { return now.Sub(one.heard) < staleAfter })
	}
}

func (ear *early) set(hash uint32, list []earlyWork, keep func(one earlyWork) bool) {
	var rest []earlyWork
	for _, one := range list {
		if keep(one) {
			rest = append(rest, one)
		}
	}
	ear.num -= len(list) - len(rest)
	if len(rest) == 0 {
		delete(ear.byHash, hash)
		return
	}
	ear.byHash[hash] = rest
}
