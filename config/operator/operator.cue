// The operator's file: what the program switches on beside the platform's
// configuration. Every field has a default; a field that is not here is
// refused, as a misspelt one would be ignored.
#Operator: {
	// The uwsgi front's file; "" for off.
	uwsgi: *"" | string
	// The matching rules' file; "" for off.
	rules: *"" | string
	keys: {
		// Where the keys of what ran outlive the process; "" keeps them in memory.
		dir: *"" | string
		// always: a claim is synced to disk before its run begins (a power loss
		// keeps it); never: the system writes it when it will (a crash of the
		// process keeps it, one of the machine may not).
		sync: *"always" | "never"
	}
	log: {
		level:  *"info" | "debug" | "warn" | "error"
		format: *"text" | "json"
		// The same line at most so often a second; 0 for no bound.
		repeats: *10 | (int & >=0 & <=10000)
	}
	metrics: {
		// The address of the operator's own listener for /metrics; "" for off.
		listen: *"" | #address
	}
	// Talk among instances (docs/fleet.md); off where the platform gives one
	// listener and no talk.
	fleet: {
		role: *"off" | "voter" | "member"
		// Two fleets of different names never talk.
		name: *"quincerail" | =~"^[0-9A-Za-z._-]{1,64}$"
		// Where a voter hears the other voters, and every member the others.
		raft:   *"" | #address
		gossip: *"" | #address
		// The folder of a voter's log; a disk that lasts.
		dir: *"" | string
		// All voters, this one too, and the members to join by: name to address.
		voters: [string]: #address
		seeds: [string]:  #address
		// Without word from a leader for so long, a voter stands for election.
		election_ms: *1000 | (int & >=50 & <=60000)
		// How long a lease lasts unless it is renewed.
		lease_ms: *1000 | (int & >=50 & <=600000)
		// Most that a member's clock runs fast or slow by, as a share.
		drift: *0.05 | (number & >=0 & <=0.2)
		// The owner probes the shared dependency so often, finds it slow beyond
		// slow_ms, and puts what it finds to a URL; "" for the members only.
		probe_ms: *500 | (int & >=10 & <=60000)
		slow_ms:  *100 | (int & >=1 & <=60000)
		publish:  *"" | =~"^http://"
		// Calls that the whole fleet may have in hand at the shared dependency; 0
		// for no such bound. The same at each member, as are the two below.
		budget_calls: *0 | (int & >=0 & <=10000000)
		// Repeats of calls that the whole fleet may make in any second; 0 for no bound.
		budget_repeats: *0 | (int & >=0 & <=10000000)
		// Without word from the budget's owner for so long, a member makes no calls.
		horizon_ms: *60000 | (int & >=1000 & <=3600000)
		// The longest that a call is in hand, at the dependency too.
		hold_ms: *10000 | (int & >=10 & <=600000)
		// Rollouts (docs/rollout.md): how often members report, and how long the
		// windows are that servers are compared by; 0 for no rollouts. The same at
		// each member.
		window_ms: *0 | (int & >=0 & <=600000)
		// What this build of the program is called, and where this process is.
		version: *"" | =~"^[0-9A-Za-z._+-]{1,64}$"
		zone:    *"" | string
		// Where operators call a voter about rollouts and voters; "" for nowhere.
		operators: *"" | #address
		// This voter joins a group that is at work, once an operator adds it there;
		// voters are those there are then.
		join: *false | bool
		// For drills: this member's lease clock runs at such a rate.
		clock_rate: *1.0 | (number & >=0.5 & <=2)
	}

	// Each of these is valid alone, and dangerous with the other.
	if log.level == "debug" && (log.repeats > 100 || log.repeats == 0) {
		log: repeats: error("debug writes a line for each request: more than 100 repeats a second would flood the log at full load")
	}
	if fleet.role != "off" && fleet.gossip == "" {
		fleet: gossip: error("a member of a fleet needs an address where it hears the others")
	}
	if fleet.role == "voter" && (fleet.raft == "" || fleet.dir == "") {
		fleet: role: error("a voter needs raft, an address, and dir, a folder that lasts")
	}
	if fleet.role != "voter" && len(fleet.voters) > 0 {
		fleet: voters: error("only a voter talks to the voters")
	}
	if fleet.budget_calls > 0 && fleet.hold_ms*2 > fleet.horizon_ms {
		fleet: hold_ms: error("calls that last half of horizon_ms leave a member that hears little no time to make any")
	}
	if fleet.budget_repeats > 0 && fleet.horizon_ms < 3000 {
		fleet: horizon_ms: error("a repeat keeps its right for a second: 3000 at least wanted with budget_repeats")
	}
	if fleet.window_ms > 0 && fleet.version == "" {
		fleet: version: error("rollouts compare versions: a name for this one wanted")
	}
	if fleet.operators != "" && fleet.role != "voter" {
		fleet: operators: error("operators call a voter")
	}
	if fleet.join && fleet.role != "voter" {
		fleet: join: error("only a voter joins the voters")
	}
	if fleet.lease_ms*2 < fleet.election_ms {
		fleet: lease_ms: error("shorter than half of election_ms, the lease would run out at each change of leaders")
	}
	if keys.sync == "never" && keys.dir == "" {
		keys: sync: error("sync says how the folder of keys is written, and there is none")
	}
}

#address: =~"^[0-9A-Za-z.\\[\\]:-]*:[0-9]{1,5}$"
