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
		listen: *"" | =~"^[0-9A-Za-z.\\[\\]:-]*:[0-9]{1,5}$"
	}

	// Each of these is valid alone, and dangerous with the other.
	if log.level == "debug" && log.repeats > 100 {
		log: repeats: error("debug writes a line for each request: more than 100 repeats a second would flood the log at full load")
	}
	if keys.sync == "never" && keys.dir == "" {
		keys: sync: error("sync says how the folder of keys is written, and there is none")
	}
}
