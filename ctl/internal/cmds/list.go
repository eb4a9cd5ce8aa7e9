package cmds

import "arbutuswing.example/internal/decl"

// commands lists the commands; the help text sorts them by name.
func commands(e *env) []command {
	return []command{
		{
			name: "check", short: "check declarations and settings offline", handler: &checkCommand{env: e},
			long: "Checks the declarations in files and directories as one set, without a server. Each fault is written as " +
				"file:line:column: object: what is wrong. Exit code 1 means that faults were found.",
		},
		{
			name: "schema", short: "print JSON schemas or the reference page", handler: &schemaCommand{env: e},
			long: "Prints the JSON schema of declarations, change, entry (settings of aw-entry) or ctl (settings of aw-ctl); " +
				"with --markdown, the reference page of all of them.",
		},
		{
			name: "diff", short: "show how declarations differ", handler: &diffCommand{env: e},
			long: "Shows what the declarations at NEW alter in those at OLD, or in those in force if only one is given. " +
				"+ means added, - removed and ~ changed.",
		},
		{
			name: "plan", short: "show what apply would do", handler: &planCommand{env: e},
			long: "Shows what the declarations at PATH alter in those in force, the offset that the change would be based on, " +
				"and whose approval it needs. --out saves the plan, so that apply does exactly this or reports a conflict.",
		},
		{
			name: "apply", short: "put declarations in force", handler: &applyCommand{env: e},
			long: "Makes the declarations in force equal to those at PATH, or carries out a saved plan. Objects that the files " +
				"don't name are removed; teams without keys keep theirs, and data centres without a state of service keep " +
				"theirs. Exit code 3 means that another change came first; 5 that the change waits for approval.",
		},
		{name: "status", short: "show the state of the system", handler: &statusCommand{env: e}},
		{name: "dump", short: "dump the state of an entry instance as JSON", handler: &dumpCommand{env: e}},
		keysCommand(e),
		dataCentreCommand(e),
		{
			name: "proposals", short: "list changes that wait for approval", handler: &proposalsCommand{env: e},
			long: "Lists the open proposals. With an organisation's key, lists those that concern the organisation.",
		},
		{
			name: "approve", short: "approve a proposal for an organisation", handler: &verdictCommand{env: e, approve: true},
			long: "Approves a proposal. --key-file names the file with the organisation's approval key. Exit code 5 means that " +
				"the proposal waits for other organisations.",
		},
		{
			name: "veto", short: "veto a proposal for an organisation", handler: &verdictCommand{env: e},
			long: "Closes a proposal without effect. --key-file names the file with the organisation's approval key.",
		},
		{
			name: "explain", short: "tell from logs what happened to a job", handler: &explainCommand{env: e},
			long: "Reads the logs of several aw-node processes and prints all lines about one job in the order of time. An " +
				"owner's clock that is behind those of the nodes that stored jobs is set right. --around also shows what the " +
				"processes believed at that time. Lines that are no events are counted and passed over. Exit code 1 means " +
				"that no line is about the job.",
		},
		{name: "version", short: "print the version", handler: &versionCommand{env: e}},
	}
}

func keysCommand(e *env) command {
	const source = "The key is given by its SHA-256 (--hash) or by a file that holds it (--team-key-file)."
	return command{
		name: "keys", short: "grant and withdraw the keys of teams",
		long: "Grants and withdraws keys. Neither needs an approval, and neither is held up by other changes.",
		subcommands: []command{
			{name: "grant", short: "grant a key to a team", long: source, handler: &keyCommand{env: e, grant: true}},
			{name: "withdraw", short: "withdraw a key of a team", long: source, handler: &keyCommand{env: e}},
		},
	}
}

func dataCentreCommand(e *env) command {
	return command{
		name: "datacentre", short: "take data centres in and out of service",
		long: "Alters the state of service of a data centre. This never needs an approval.",
		subcommands: []command{
			{
				name: "out", short: "let no task start in a data centre", handler: &serviceCommand{env: e, service: decl.OutOfService},
				long: "Takes a data centre out of service: no task starts there from a few seconds later on.",
			},
			{
				name: "in", short: "let tasks start in a data centre", handler: &serviceCommand{env: e, service: decl.InService},
				long: "Puts a data centre into service.",
			},
			{
				name: "lost", short: "declare that a data centre is switched off", handler: &serviceCommand{env: e, service: decl.Lost},
				long: "Declares that all instances of a data centre are switched off, so that its work starts elsewhere. Only use " +
					"it when they are: otherwise tasks could run twice.",
			},
		},
	}
}
