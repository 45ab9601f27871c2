package adminapi

// Paths. A segment in braces stands for a name.
const (
	// PathTemplate (GET) returns an explained answers file as text.
	PathTemplate = "/v1/questionnaire/template"
	// PathCheck (POST) checks answers and returns a CheckReply.
	PathCheck = "/v1/questionnaire/check"
	// PathProposals (POST) turns answers into a questionnaire.Proposal against the
	// configuration in force. It changes nothing.
	PathProposals = "/v1/proposals"
	// PathAcceptances (POST) accepts a questionnaire.Proposal and returns an
	// AcceptReply with status 201. HeaderIfMatch must name the proposal's base
	// revision. HeaderRequestID, if given, makes a resend return the first
	// acceptance's revision; a resend has the same body and a token of the same team.
	// The answer repeats HeaderRequestID, or has the one that the daemon chose.
	PathAcceptances = "/v1/acceptances"
	// PathConfiguration (GET) returns a Configuration, with the revision as ETag. The
	// ETag doesn't cover InForce, so leave HeaderIfNoneMatch out to follow it.
	PathConfiguration = "/v1/configuration"
	// PathRevisions (GET) returns a RevisionPage, newest first. Revisions that changed
	// nothing of the token's team are left out.
	PathRevisions = "/v1/revisions"
	// PathServices (GET) returns a ServicePage, ordered by name.
	PathServices = "/v1/services"
	// PathService (GET) returns a config.Service, with the revision that brought it
	// into force as ETag.
	PathService = "/v1/services/{service}"
	// PathTargets (GET) returns a TargetPage as this daemon sees it, ordered by
	// service and name. QueryService restricts it to one service.
	PathTargets = "/v1/targets"
	// PathQuarantine (GET) returns a SuspectPage, ordered by content.
	PathQuarantine = "/v1/quarantine"
	// PathSuspect (DELETE) lifts the quarantine of one content on all entry daemons
	// that answer and returns a LiftReply.
	PathSuspect = "/v1/quarantine/{content}"
	// PathDump (GET) returns a daemon.Dump. For administrators only.
	PathDump = "/v1/dump"
	// PathTeams (GET) returns a TeamPage. For administrators only.
	PathTeams = "/v1/teams"
	// PathTeam (GET, PUT, DELETE) reads, replaces or removes a Team. PUT takes a
	// Limits and returns the Team with its ETag, with status 201 for a new one;
	// HeaderIfMatch must name the team's ETag, or HeaderIfNoneMatch be "*" for a new
	// team. DELETE answers with status 204; a team that still has services is not
	// removed. For administrators only.
	PathTeam = "/v1/teams/{team}"
	// PathTokens (POST) makes a token of the team and returns a NewToken with status
	// 201. For administrators only.
	PathTokens = "/v1/teams/{team}/tokens"
	// PathToken (DELETE) revokes a token and answers with status 204. For
	// administrators only.
	PathToken = "/v1/teams/{team}/tokens/{token}"
)

// Query arguments.
const (
	QueryLimit   = "limit"
	QueryAfter   = "after"
	QueryService = "service"
)

// Page sizes, in items.
const (
	DefaultPage = 50
	MaxPage     = 500
)

// Headers.
const (
	HeaderAuthorization = "Authorization"
	HeaderETag          = "ETag"
	HeaderIfMatch       = "If-Match"
	HeaderIfNoneMatch   = "If-None-Match"
	HeaderRetryAfter    = "Retry-After"
	// HeaderRequestID is a UUID that identifies one acceptance over resends.
	HeaderRequestID = "Request-Id"
	// HeaderOperator names the person behind a team's token. It is written to the
	// history and the audit log beside the token's name.
	HeaderOperator = "Operator"
	// BearerPrefix starts the value of HeaderAuthorization.
	BearerPrefix = "Bearer "
)
