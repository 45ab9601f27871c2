package adminapi

import (
	"time"

	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

// CheckReply answers PathCheck.
type CheckReply struct {
	Team         string `json:"team"`
	Services     int    `json:"services"`
	RequestTypes int    `json:"request_types"`
	Targets      int    `json:"targets"`
}

// AcceptReply answers PathAcceptances.
type AcceptReply struct {
	Revision uint64 `json:"revision"`
}

// Configuration is the accepted configuration's newest revision.
type Configuration struct {
	Revision uint64 `json:"revision"`
	// AcceptedBy is empty if the revision changed nothing of the token's team.
	AcceptedBy string    `json:"accepted_by"`
	AcceptedAt time.Time `json:"accepted_at"`
	// InForce is the revision that this daemon has in force.
	InForce uint64 `json:"in_force"`
	// Services are those of the token's team; of all teams for administrators.
	Services []ServiceRevision `json:"services"`
}

// ServiceRevision says which revision brought a service into force.
type ServiceRevision struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// Revision is one accepted revision. Services of other teams are left out.
type Revision struct {
	Revision   uint64    `json:"revision"`
	AcceptedBy string    `json:"accepted_by"`
	AcceptedAt time.Time `json:"accepted_at"`
	Changed    []string  `json:"changed,omitempty"`
	Removed    []string  `json:"removed,omitempty"`
}

// RevisionPage answers PathRevisions.
type RevisionPage struct {
	Revisions []Revision `json:"revisions"`
	Next      string     `json:"next,omitempty"`
}

// ServiceSummary is one service of a list.
type ServiceSummary struct {
	Name     string `json:"name"`
	Team     string `json:"team"`
	Revision uint64 `json:"revision"`
	Targets  int    `json:"targets"`
}

// ServicePage answers PathServices.
type ServicePage struct {
	Services []ServiceSummary `json:"services"`
	Next     string           `json:"next,omitempty"`
}

// TargetPage answers PathTargets.
type TargetPage struct {
	Targets []proxy.TargetState `json:"targets"`
	Next    string              `json:"next,omitempty"`
}

// SuspectPage answers PathQuarantine.
type SuspectPage struct {
	Suspects []quarantine.Suspect `json:"suspects"`
	Next     string               `json:"next,omitempty"`
}

// LiftReply answers PathSuspect.
type LiftReply struct {
	// Known is set if this daemon suspected the content.
	Known bool `json:"known"`
	// Unreached are the names of the entry VMs that didn't confirm.
	Unreached []string `json:"unreached"`
}

// Limits bound what a team may have. Zero means the default.
type Limits struct {
	// Services is the number of services. Default 50.
	Services int `json:"services,omitempty" validate:"min=0,max=10000"`
	// Targets is the number of targets over all services. Default 1000.
	Targets int `json:"targets,omitempty" validate:"min=0,max=100000"`
	// RequestsPerMinute bounds the team's API requests at one daemon. Default 300.
	RequestsPerMinute int `json:"requests_per_minute,omitempty" validate:"min=0,max=100000"`
}

// Token describes a token. The token itself is kept as a hash only.
type Token struct {
	// ID names the token in logs and in PathToken.
	ID        string    `json:"id"`
	CreatedBy string    `json:"created_by"`
	CreatedAt time.Time `json:"created_at"`
}

// Team is a team with its limits and tokens.
type Team struct {
	Name   string  `json:"name"`
	Limits Limits  `json:"limits"`
	Tokens []Token `json:"tokens"`
}

// TeamPage answers PathTeams.
type TeamPage struct {
	Teams []Team `json:"teams"`
	Next  string `json:"next,omitempty"`
}

// NewToken answers PathTokens. The secret is shown this once.
type NewToken struct {
	ID string `json:"id"`
	// Token is the value after BearerPrefix.
	Token string `json:"token"`
}
