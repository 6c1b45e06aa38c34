package metric

import "fmt"

// CounterValues returns the values of a counter by label value, for reports. The name does not include the namespace;
// an example is "retries_total". The error is that of the registry.
func (set *Set) CounterValues(name string) (map[string]int, error) {
	families, err := set.registry.Gather()
	if err != nil {
		return nil, fmt.Errorf("metric: gather: %w", err)
	}
	counts := make(map[string]int)
	for _, fam := range families {
		if fam.GetName() != namespace+"_"+name {
			continue
		}
		for _, met := range fam.GetMetric() {
			for _, lab := range met.GetLabel() {
				counts[lab.GetValue()] += int(met.GetCounter().GetValue())
			}
		}
	}
	return counts, nil
}
