package adminclient

import (
	"encoding/json"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/proxy"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
)

// maxNameBytes bounds a name in a path.
const maxNameBytes = 64

// anyETag in If-None-Match means that nothing may exist yet.
const anyETag = "*"

var (
	names    = regexp.MustCompile(`^[A-Za-z0-9._-]{1,` + strconv.Itoa(maxNameBytes) + `}$`)
	segments = regexp.MustCompile(`\{[a-z]+\}`)
)

// RevisionETag returns the ETag of a revision.
func RevisionETag(revision uint64) string { return strconv.Quote(strconv.FormatUint(revision, 10)) }

// pathOf puts names into the braces of a path. The error is a *NameError.
func pathOf(pattern string, parts ...string) (string, error) {
	for _, name := range parts {
		if !names.MatchString(name) || strings.Trim(name, ".") == "" {
			return "", &NameError{Name: name}
		}
	}
	next := 0
	return segments.ReplaceAllStringFunc(pattern, func(string) string {
		next++
		return parts[next-1]
	}), nil
}

// get reads a resource and its ETag.
func get[T any](c *Client, path string, query url.Values) (*T, string, error) {
	answer, err := c.do(&request{method: fasthttp.MethodGet, path: path, query: query, safe: true})
	if err != nil {
		return nil, "", err
	}
	value := new(T)
	return value, answer.etag, answer.decode(value)
}

// collect reads all pages of a list.
func collect[Page, Item any](c *Client, path string, query url.Values, content func(*Page) ([]Item, string)) ([]Item, error) {
	arguments := url.Values{adminapi.QueryLimit: {strconv.Itoa(adminapi.MaxPage)}}
	for name, values := range query {
		arguments[name] = values
	}
	items := []Item{}
	for {
		page, _, err := get[Page](c, path, arguments)
		if err != nil {
			return nil, err
		}
		found, next := content(page)
		items = append(items, found...)
		if next == "" {
			return items, nil
		}
		if next == arguments.Get(adminapi.QueryAfter) {
			return nil, &RepeatedPageError{After: next}
		}
		arguments.Set(adminapi.QueryAfter, next)
	}
}

// Propose derives a proposal against the configuration in force. It changes nothing.
func (c *Client) Propose(answers *questionnaire.Answers) (*questionnaire.Proposal, error) {
	answer, err := c.do(&request{method: fasthttp.MethodPost, path: adminapi.PathProposals, body: answers, safe: true})
	if err != nil {
		return nil, err
	}
	proposal := &questionnaire.Proposal{}
	return proposal, answer.decode(proposal)
}

// Configuration returns the newest revision and its ETag.
func (c *Client) Configuration() (*adminapi.Configuration, string, error) {
	return get[adminapi.Configuration](c, adminapi.PathConfiguration, nil)
}

// Revisions returns the history, newest first.
func (c *Client) Revisions() ([]adminapi.Revision, error) {
	return collect(c, adminapi.PathRevisions, nil, func(page *adminapi.RevisionPage) ([]adminapi.Revision, string) {
		return page.Revisions, page.Next
	})
}

// Services returns the services, ordered by name.
func (c *Client) Services() ([]adminapi.ServiceSummary, error) {
	return collect(c, adminapi.PathServices, nil, func(page *adminapi.ServicePage) ([]adminapi.ServiceSummary, string) {
		return page.Services, page.Next
	})
}

// Service returns one service and its ETag.
func (c *Client) Service(name string) (*config.Service, string, error) {
	path, err := pathOf(adminapi.PathService, name)
	if err != nil {
		return nil, "", err
	}
	return get[config.Service](c, path, nil)
}

// Targets returns the targets as the daemon that answers sees them. An empty service
// means those of all services.
func (c *Client) Targets(service string) ([]proxy.TargetState, error) {
	query := url.Values{}
	if service != "" {
		query.Set(adminapi.QueryService, service)
	}
	return collect(c, adminapi.PathTargets, query, func(page *adminapi.TargetPage) ([]proxy.TargetState, string) {
		return page.Targets, page.Next
	})
}

// Suspects returns the contents that were at a target when it died.
func (c *Client) Suspects() ([]quarantine.Suspect, error) {
	return collect(c, adminapi.PathQuarantine, nil, func(page *adminapi.SuspectPage) ([]quarantine.Suspect, string) {
		return page.Suspects, page.Next
	})
}

// Lift lifts the quarantine of one content.
func (c *Client) Lift(content string) (*adminapi.LiftReply, error) {
	path, err := pathOf(adminapi.PathSuspect, content)
	if err != nil {
		return nil, err
	}
	lifted := &adminapi.LiftReply{}
	return lifted, c.change(&request{method: fasthttp.MethodDelete, path: path}, lifted)
}

// Dump returns the state of the daemon that answers, as JSON.
func (c *Client) Dump() (json.RawMessage, error) {
	dump, _, err := get[json.RawMessage](c, adminapi.PathDump, nil)
	if err != nil {
		return nil, err
	}
	return *dump, nil
}

// change sends a request that changes something and reads the answer into value,
// unless that is nil.
func (c *Client) change(r *request, value any) error {
	answer, err := c.do(r)
	if err != nil || value == nil {
		return err
	}
	if err := answer.decode(value); err != nil {
		return &UnsureError{Cause: err}
	}
	return nil
}
