package peers

import (
	"net"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// isNear reports whether a peer places calls on the same replicas first as this process does, so that the two keep in
// touch. A peer whose data centre is not known yet counts as near. The caller holds the lock.
func (exc *Exchange) isNear(per *peer) bool { return exc.isNearDataCentre(per.dataCentre) }

// isNearDataCentre reports whether the processes in a data centre place calls on the same replicas first as this one.
func (exc *Exchange) isNearDataCentre(dataCentre string) bool {
	return dataCentre == "" || dataCentre == exc.opts.DataCentre || !exc.isCell.Load()
}

// audiences returns the addresses of the peers that the function accepts, by data centre. The caller holds the lock.
func (exc *Exchange) audiences(accept func(per *peer) bool) map[string][]*net.UDPAddr {
	to := make(map[string][]*net.UDPAddr)
	for _, per := range exc.peers {
		if accept(per) {
			to[per.dataCentre] = append(to[per.dataCentre], per.addr)
		}
	}
	return to
}

// tasksFor returns the tasks that concern the processes in a data centre: those at replicas of its cell and of the
// common cell, and for processes in this data centre all, since they may place calls on the same replicas elsewhere.
func (exc *Exchange) tasksFor(dataCentre string, tasks []fleet.RemoteTask) []fleet.RemoteTask {
	if dataCentre == "" || dataCentre == exc.opts.DataCentre {
		return tasks
	}
	var list []fleet.RemoteTask
	for _, rem := range tasks {
		if rem.Cell == "" || rem.Cell == dataCentre {
			list = append(list, rem)
		}
	}
	return list
}
