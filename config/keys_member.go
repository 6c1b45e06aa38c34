package config

// Keys of the membership of an entry.
var (
	EntryFanout = intKey(definition{
		section: "entry", name: "entry-fanout", fallback: "4",
		help: "number of entries that connect to each agent of the VM list; the same on all entries",
	}, 1, 64)
)
