package questionnaire

// question explains one field of the answers.
type question struct {
	// field is the field's JSON name.
	field string
	// ask is the question.
	ask string
	// explain says what follows from the answer, with unit and allowed values.
	explain string
	// example is an answer, as JSON.
	example string
	// optional questions may be left out.
	optional bool
}

var teamQuestions = []question{
	{field: "team", ask: "Which team owns these services?", explain: "Text. Only this team's answers change them.", example: `"swanbrook"`},
	{field: "entry_vms", ask: "How many entry VMs run at most at once, those being replaced included?", explain: "Number, 1 to 10000. The measuring budget and the servers' connections are divided by it. Left out, 24.", example: `17`, optional: true},
}

var serviceQuestions = []question{
	{field: "name", ask: "What is the service called?", explain: "Text. Callers name it in each call.", example: `"stock"`},
	{field: "priority", ask: "What comes first: tail latency or the cost of measuring?", explain: `"tail" or "cost". It sets the measuring budget.`, example: `"cost"`},
	{field: "typical_ms", ask: "How long does a server usually take for a request?", explain: "Milliseconds, 1 to 60000. Hedges and queues are timed by it.", example: `5`},
	{field: "slots_per_server", ask: "How many requests does a server run at once?", explain: "Number, 1 to 10000.", example: `3`},
	{field: "connections_per_server", ask: "How many connections does a server accept?", explain: "Number, 1 to 100000, from the whole system.", example: `200`},
	{field: "calls_per_second", ask: "How many calls does the service get in a busy second?", explain: "Calls per second, 0 to 1000000. Busy services get more entry VMs. Left out, unknown.", example: `120`, optional: true},
	{field: "measuring_per_second", ask: "How many load reports may the whole system ask this service's servers for?", explain: "Reports per second, 0 to 10000; 0 turns measuring off. Left out, it follows from the priority.", example: `8`, optional: true},
}

var serverQuestions = []question{
	{field: "name", ask: "What is the server's VM called?", explain: "Text, as in the platform's list of VMs.", example: `"stock-1"`},
	{field: "ip", ask: "What is its address?", explain: "IP number.", example: `"10.20.1.11"`},
	{field: "port", ask: "Which port serves requests?", explain: "Number, 1 to 65535.", example: `8000`},
	{field: "zone", ask: "Which availability zone is it in?", explain: "Text, as in the entry VMs' settings.", example: `"perth-a"`},
	{field: "region", ask: "Which region is it in, if the service runs in several?", explain: "Text, as in the entry VMs' settings. Calls stay in their region while at least half of its servers work. Left out, no region is preferred.", example: `"perth"`, optional: true},
}

var requestQuestions = []question{
	{field: "name", ask: "What is this kind of request called?", explain: "Text. Callers name it in each call.", example: `"availability"`},
	{field: "agreed_ms", ask: "Within what time must it be answered?", explain: "Milliseconds, 1 to 600000. Later answers don't count.", example: `250`},
	{field: "if_late", ask: "What harm does a late answer do?", explain: `"none", "minor" or "grave". It decides on hedging.`, example: `"grave"`},
	{field: "if_lost", ask: "What harm does a request do that doesn't run?", explain: `"none", "minor" or "grave". It decides what happens while the platform is down.`, example: `"minor"`},
	{field: "if_doubled", ask: "What harm does a request do that runs twice?", explain: `"none", "minor" or "grave". "none" allows retries; "grave" asks for a record on the platform before the request runs.`, example: `"none"`},
	{field: "if_platform_down", ask: "While the platform is down, serve or refuse requests that must not run twice?", explain: `"serve" or "refuse". Served requests are protected by one daemon's memory alone: after its loss their outcome is unknown. Left out, it follows from the harm.`, example: `"serve"`, optional: true},
}
