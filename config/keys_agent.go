package config

import "time"

// Keys of an agent.
var (
	AgentKind = choiceKey(definition{
		section: "agent", name: "kind", fallback: "engine",
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
		section: "agent", name: "short-bias", fallback: "8",
		help: "weight of short requests: a request may be overtaken by requests that arrive within this multiple " +
			"of its own predicted prefill time; larger values favour the slowdown of short requests, smaller ones " +
			"the time to first token across all lengths",
	}, 0, 1000)
	AgentShortLimit = intKey(definition{
		section: "agent", name: "short-limit", unit: "tokens", fallback: "10000",
		help: "longest prompt that counts as short",
	}, 1, 10_000_000)
	AgentShortHeadroom = floatKey(definition{
		section: "agent", name: "short-headroom", fallback: "0.1",
		help: "share of the engine's KV memory that only short requests may use",
	}, 0, 0.9)
	AgentHoldShare = floatKey(definition{
		section: "agent", name: "hold-share", fallback: "0.6",
		help: "share of the engine's KV memory that may be held for parts of prompts that several engines share; " +
			"0 takes the engine out of all groups",
	}, 0, 1)
	AgentPeerAddress = addressKey(definition{
		section: "agent", name: "peer-address",
		help: "address at which other engines reach this one to read the parts of prompts that it holds; " +
			"empty for agent.upstream",
	})
	AgentEngineWindow = durationKey(definition{
		section: "agent", name: "engine-window", fallback: "100ms",
		help: "predicted prefill work that the engine may hold ahead of a request handed over; larger values batch " +
			"more short prefills, smaller ones leave more to the agent's order",
	}, 0, time.Minute)
	AgentQueueLimit = intKey(definition{
		section: "agent", name: "queue-limit", unit: "requests", fallback: "4096",
		help: "most requests waiting at the agent, which bounds its memory; the deadline check refuses far earlier",
	}, 1, 1_000_000)
)
