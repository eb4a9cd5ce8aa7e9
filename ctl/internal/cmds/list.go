package cmds

import "arbutuswing.example/internal/decl"

// commands returns the commands; the help text sorts them by name.
func commands(e *env) []command {
	return []command{
		{
			name: "check", short: "check declarations and settings offline", handler: &checkCommand{env: e},
			long: "Checks the declarations in files and directories as one set, without a server. Each problem is printed as " +
				"file:line:column: path: what is wrong. Exit code 1 means that problems were found.",
		},
		{
			name: "schema", short: "print JSON schemas or the reference page", handler: &schemaCommand{env: e},
			long: "Prints the JSON schema of declarations, change, entry (settings of aw-entry), node (settings of aw-node) or " +
				"ctl (settings of aw-ctl); with --markdown, the reference page of all of them.",
		},
		{
			name: "diff", short: "show how declarations differ", handler: &diffCommand{env: e},
			long: "Shows how the declarations at NEW differ from those at OLD, or from those in force if only NEW is given. " +
				"+ means added, - removed and ~ changed.",
		},
		{
			name: "plan", short: "show what apply would do", handler: &planCommand{env: e},
			long: "Shows how the declarations at PATH differ from those in force, the offset that the change would be based on, " +
				"and whose approval it needs. --out saves the plan, so that apply makes exactly this change or reports a conflict.",
		},
		{
			name: "apply", short: "put declarations in force", handler: &applyCommand{env: e},
			long: "Makes the declarations in force equal to those at PATH, or applies a saved plan. Objects that are missing from " +
				"the files are removed. Teams without keys keep their keys, and data centres without a state of service keep " +
				"their state. Exit code 3 means that another change came first; 5 that the change waits for approval.",
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
			long: "Rejects a proposal, so that it never takes effect. --key-file names the file with the organisation's approval key.",
		},
		{
			name: "explain", short: "print the history of a job from logs", handler: &explainCommand{env: e},
			long: "Reads the logs of several aw-node processes and prints all lines about a job in chronological order. If an " +
				"owner's clock lags behind those of the nodes that stored jobs, its times are corrected. --around also shows " +
				"the lines that name no job from about the same time. Lines that are not events are skipped and counted. Exit code " +
				"1 means that no line is about the job.",
		},
		{name: "version", short: "print the version", handler: &versionCommand{env: e}},
	}
}

func keysCommand(e *env) command {
	const source = "The key is given by its SHA-256 (--hash) or by a file that holds it (--team-key-file)."
	return command{
		name: "keys", short: "grant and withdraw the keys of teams",
		long: "Grants and withdraws keys. This never needs an approval, and it is retried if other changes come first.",
		subcommands: []command{
			{name: "grant", short: "grant a key to a team", long: source, handler: &keyCommand{env: e, grant: true}},
			{name: "withdraw", short: "withdraw a key of a team", long: source, handler: &keyCommand{env: e}},
		},
	}
}

func dataCentreCommand(e *env) command {
	return command{
		name: "datacentre", short: "take data centres in and out of service",
		long: "Changes the state of service of a data centre. This never needs an approval.",
		subcommands: []command{
			{
				name: "out", short: "stop tasks from starting in a data centre", handler: &serviceCommand{env: e, service: decl.OutOfService},
				long: "Takes a data centre out of service. Within a few seconds, no more tasks start there.",
			},
			{
				name: "in", short: "allow tasks to start in a data centre",
				handler: &serviceCommand{env: e, service: decl.InService}, long: "Puts a data centre into service.",
			},
			{
				name: "lost", short: "declare that a data centre is switched off", handler: &serviceCommand{env: e, service: decl.Lost},
				long: "Declares that all instances of a data centre are switched off, so that its work starts elsewhere. Use it " +
					"only if they are: otherwise tasks could run twice.",
			},
		},
	}
}
