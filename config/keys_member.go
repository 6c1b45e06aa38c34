package config

// Keys that decide which entries connect to which agents.
var (
	EntryFanout = intKey(definition{
		section: "entry", name: "entry-fanout", defaultValue: "4",
		help: "number of entries that connect to each agent of the VM list; the same on all entries",
	}, 1, 64)
)
