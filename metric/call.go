package metric

// CallLabels describe a refused or deferred call. Each has few values.
type CallLabels struct {
	Length     string // of the prompt, see cost.Class
	Priority   string // of the route or account
	DataCentre string // of the process that handles the call
	Share      string // whether the account is above its share of recent work
}

// callLabelNames are the names of CallLabels, in the order of their values.
var callLabelNames = []string{"length", "priority", "data_centre", "share"}

// CountCallRefusal counts a refused call by reason code and kind. CountRefusal counts it by reason code alone.
func (set *Set) CountCallRefusal(reason string, lab CallLabels) {
	set.refused.WithLabelValues(reason, lab.Length, lab.Priority, lab.DataCentre, lab.Share).Inc()
}

// CountDeferral counts a wait of a call for a better placement.
func (set *Set) CountDeferral(lab CallLabels) {
	set.deferred.WithLabelValues(lab.Length, lab.Priority, lab.DataCentre, lab.Share).Inc()
}
