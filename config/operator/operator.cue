// Schema of the operator's file, which turns on features that the platform's
// configuration doesn't cover. Every field has a default. An unknown field is
// an error, so that a misspelt one is not ignored.
#Operator: {
	// Path of the uwsgi frontend's file; "" turns the frontend off.
	uwsgi: *"" | string
	// Path of the file with classification rules; "" for no rules.
	rules: *"" | string
	keys: {
		// Directory of the journal of idempotency keys, which keeps them when the
		// process exits; "" keeps them only in memory.
		dir: *"" | string
		// always: a claim is synced to disk before its run begins, and survives a
		// power loss. never: the operating system decides when to write it; a
		// claim survives a crash of the process, but maybe not of the machine.
		sync: *"always" | "never"
	}
	log: {
		level:  *"info" | "debug" | "warn" | "error"
		format: *"text" | "json"
		// Maximum number of lines per second with the same message; 0 for no limit.
		repeats: *10 | (int & >=0 & <=10000)
	}
	metrics: {
		// Address of the listener for /metrics; "" turns metrics off.
		listen: *"" | #address
	}
	// Communication among the instances of a fleet (docs/fleet.md). It is off for
	// platforms that allow a single listener and no connections among instances.
	fleet: {
		role: *"off" | "voter" | "member"
		// Members of fleets with different names refuse each other.
		name: *"quincerail" | =~"^[0-9A-Za-z._-]{1,64}$"
		// raft: address where a voter listens for the other voters. gossip: address
		// where any member listens for the others.
		raft:   *"" | #address
		gossip: *"" | #address
		// Directory of a voter's log, on persistent storage.
		dir: *"" | string
		// Names and addresses. voters: all voters, with this process if it is one.
		// seeds: members through which this one joins the gossip.
		voters: [string]: #address
		seeds: [string]:  #address
		// Time without a message from a leader after which a voter becomes a
		// candidate.
		election_ms: *1000 | (int & >=50 & <=60000)
		// Duration of a lease unless it is renewed.
		lease_ms: *1000 | (int & >=50 & <=600000)
		// Bound on how fast or slow a member's clock runs, as a fraction.
		drift: *0.05 | (number & >=0 & <=0.2)
		// The owner of the health lease probes the shared dependency every
		// probe_ms. The dependency is slow if a probe takes longer than slow_ms.
		// publish is the URL to which the result is put; "" sends it only to the
		// fleet's members.
		probe_ms: *500 | (int & >=10 & <=60000)
		slow_ms:  *100 | (int & >=1 & <=60000)
		publish:  *"" | =~"^http://"
		// Limit on the fleet's calls in flight at the shared dependency; 0 for no
		// limit. This value and the two below must be the same at each member.
		budget_calls: *0 | (int & >=0 & <=10000000)
		// Limit on the fleet's retries of calls in any second; 0 for no limit.
		budget_repeats: *0 | (int & >=0 & <=10000000)
		// Time without an acknowledgement from the quota allocator's leader after
		// which a member makes no calls.
		horizon_ms: *60000 | (int & >=1000 & <=3600000)
		// Longest time that a call is in flight, including at the dependency.
		hold_ms: *10000 | (int & >=10 & <=600000)
		// Rollouts (docs/rollout.md): the interval at which members report, which is
		// the length of the windows by which servers are compared; 0 for no
		// rollouts. It must be the same at each member.
		window_ms: *0 | (int & >=0 & <=600000)
		// Version of the program, and zone of this process.
		version: *"" | =~"^[0-9A-Za-z._+-]{1,64}$"
		zone:    *"" | string
		// Address where a voter serves operators' requests about rollouts and
		// voters; "" for none.
		operators: *"" | #address
		// This voter joins a running group once an operator adds it there. voters
		// then lists the group's present voters.
		join: *false | bool
		// For tests of clock drift: the rate of this member's lease clock.
		clock_rate: *1.0 | (number & >=0.5 & <=2)
	}

	// Combinations of values that are valid alone, but dangerous together.
	if log.level == "debug" && (log.repeats > 100 || log.repeats == 0) {
		log: repeats: error("debug writes a line for each request: more than 100 repeats a second would flood the log at full load")
	}
	if fleet.role != "off" && fleet.gossip == "" {
		fleet: gossip: error("a member of a fleet needs an address to listen on")
	}
	if fleet.role == "voter" && (fleet.raft == "" || fleet.dir == "") {
		fleet: role: error("a voter needs an address in raft and a directory in dir")
	}
	if fleet.role != "voter" && len(fleet.voters) > 0 {
		fleet: voters: error("only a voter connects to the voters")
	}
	if fleet.budget_calls > 0 && fleet.hold_ms*2 > fleet.horizon_ms {
		fleet: hold_ms: error("must be at most half of horizon_ms, as a member with few acknowledgements would have no time to make calls")
	}
	if fleet.budget_repeats > 0 && fleet.horizon_ms < 3000 {
		fleet: horizon_ms: error("must be at least 3000 with budget_repeats, as a retry holds its right for a second")
	}
	if fleet.window_ms > 0 && fleet.version == "" {
		fleet: version: error("must not be empty with window_ms, as rollouts compare versions")
	}
	if fleet.operators != "" && fleet.role != "voter" {
		fleet: operators: error("only a voter serves operators' requests")
	}
	if fleet.join && fleet.role != "voter" {
		fleet: join: error("only a voter can join the voters")
	}
	if fleet.lease_ms*2 < fleet.election_ms {
		fleet: lease_ms: error("must be at least half of election_ms, as the lease would otherwise expire at each change of leader")
	}
	if keys.sync == "never" && keys.dir == "" {
		keys: sync: error("sync says when the files in dir are synced to disk, but dir is empty")
	}
}

#address: =~"^[0-9A-Za-z.\\[\\]:-]*:[0-9]{1,5}$"
