package peer

// Methods about the quotas of workspaces; the messages are those of package quota.
const (
	// MethodQuotaAsk carries a quota.Ask and is answered by a quota.AskReply.
	MethodQuotaAsk = "quota.ask"
	// MethodQuotaVote carries a quota.VoteRequest and is answered by a quota.VoteReply.
	MethodQuotaVote = "quota.vote"
	// MethodQuotaRelease carries a quota.Release and is a notification.
	MethodQuotaRelease = "quota.release"
)
