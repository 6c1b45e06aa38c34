package config

import "time"

// Keys of an agent.
var (
	AgentKind = choiceKey(definition{
		section: "agent", name: "kind", defaultValue: "engine",
		help: "kind of the upstream",
	}, "engine", "plain")
	AgentServes = textKey(definition{
		section: "agent", name: "serves", required: true, roles: agentOnly,
		help: "model or service name of the upstream",
	})
	AgentUpstream = addressKey(definition{
		section: "agent", name: "upstream", required: true, roles: agentOnly,
		help: "address of the upstream",
	})
	AgentShortBias = floatKey(definition{
		section: "agent", name: "short-bias", defaultValue: "8",
		help: "weight of short requests: a request may be overtaken by requests that arrive within this multiple " +
			"of its own predicted prefill time; larger values favour the slowdown of short requests, smaller ones " +
			"the time to first token across all lengths",
	}, 0, 1000)
	AgentShortLimit = intKey(definition{
		section: "agent", name: "short-limit", unit: "tokens", defaultValue: "10000",
		help: "longest prompt that counts as short",
	}, 1, 10_000_000)
	AgentShortHeadroom = floatKey(definition{
		section: "agent", name: "short-headroom", defaultValue: "0.1",
		help: "share of the engine's KV memory that only short requests may use",
	}, 0, 0.9)
	AgentPartShare = floatKey(definition{
		section: "agent", name: "hold-share", defaultValue: "0.6",
		help: "share of the engine's KV memory that may be reserved for parts of split prompts; with 0, the engine " +
			"takes part in none",
	}, 0, 1)
	AgentPeerAddress = addressKey(definition{
		section: "agent", name: "peer-address",
		help: "address at which other engines read the parts of split prompts that this engine holds; " +
			"empty for agent.upstream",
	})
	AgentEngineWindow = durationKey(definition{
		section: "agent", name: "engine-window", defaultValue: "100ms",
		help: "predicted prefill time of the requests that the engine may have ahead of a request sent to it; larger " +
			"values batch more short prefills, smaller ones let the agent's queue decide more of the order",
	}, 0, time.Minute)
	AgentQueueLimit = intKey(definition{
		section: "agent", name: "queue-limit", unit: "requests", defaultValue: "4096",
		help: "largest number of requests that wait at the agent, which bounds its memory; the deadline check " +
			"refuses requests far earlier",
	}, 1, 1_000_000)
)
