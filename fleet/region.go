package fleet

// DataCentres are the data centres whose replicas may get a call. Nil allows all of them.
type DataCentres map[string]bool

func (dcs DataCentres) has(dataCentre string) bool { return dcs == nil || dcs[dataCentre] }

// CountIn returns how many replicas of the service do not drain, and how many of them are in allowed data centres.
func (set *ReplicaSet) CountIn(allowed DataCentres) (inAllowed, all int) {
	set.mu.Lock()
	defer set.mu.Unlock()
	for _, rep := range set.replicas {
		if rep.reg.Draining {
			continue
		}
		all++
		if allowed.has(rep.reg.DataCentre) {
			inAllowed++
		}
	}
	return inAllowed, all
}
