package questionnaire

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/examples"
	"github.com/poplarwheel/poplarwheel/internal/config"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestExamplesYieldTheirConfiguration(t *testing.T) {
	for name, answers := range map[string][]byte{"swanbrook": examples.Swanbrook, "lumenwalk": examples.Lumenwalk} {
		t.Run(name, func(t *testing.T) {
			proposal := propose(t, answers)
			got, err := json.MarshalIndent(proposal, "", "  ")
			require.NoError(t, err)
			path := filepath.Join("..", "..", "examples", name+".proposal.json")
			if *update {
				require.NoError(t, os.WriteFile(path, append(got, '\n'), 0o600))
			}
			want, err := os.ReadFile(path)
			require.NoError(t, err)
			require.Equal(t, string(want), string(got)+"\n")
		})
	}
}

func propose(t *testing.T, data []byte) *Proposal {
	t.Helper()
	answers, err := Parse(data)
	require.NoError(t, err)
	proposal, err := Propose(answers)
	require.NoError(t, err)
	return proposal
}

// The answers give names, agreed slots and connections, and servers; every other
// value of a configuration is derived.
func TestEveryDerivedValueHasAReason(t *testing.T) {
	answered := []string{".name", ".team", ".entry_vm_limit", ".calls_per_second", ".slots", ".max_connections", ".address", ".zone"}
	proposal := propose(t, examples.Swanbrook)
	reasons := map[string]string{}
	for _, reason := range proposal.Reasons {
		reasons[reason.Path] = reason.Value
	}
	for _, service := range proposal.Services {
		for path, value := range leaves(service) {
			if !hasSuffix(path, answered) {
				require.Equal(t, value, reasons[path], "no reason for %s", path)
			}
		}
	}
}

func hasSuffix(path string, suffixes []string) bool {
	for _, suffix := range suffixes {
		if strings.HasSuffix(path, suffix) {
			return true
		}
	}
	return false
}

func TestQuestionsCoverEveryAnswer(t *testing.T) {
	for _, c := range []struct {
		value     any
		questions []question
	}{
		{Answers{}, teamQuestions},
		{Service{}, serviceQuestions},
		{Server{}, serverQuestions},
		{Request{}, requestQuestions},
	} {
		var fields, asked []string
		for _, field := range reflect.VisibleFields(reflect.TypeOf(c.value)) {
			if field.Type.Kind() == reflect.Slice {
				continue
			}
			name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			fields = append(fields, name)
		}
		for _, q := range c.questions {
			asked = append(asked, q.field)
		}
		require.ElementsMatch(t, fields, asked, "%T", c.value)
	}
}

func TestTemplateIsValid(t *testing.T) {
	template := Template()
	proposal := propose(t, []byte(template))
	require.Equal(t, "stock", proposal.Services[0].Name)
	for _, questions := range [][]question{teamQuestions, serviceQuestions, serverQuestions, requestQuestions} {
		for _, q := range questions {
			require.Contains(t, template, q.ask)
			require.Contains(t, template, q.explain)
		}
	}
}

func TestParseRefuses(t *testing.T) {
	valid := strings.Split(Template(), "\n")
	for name, c := range map[string]struct{ from, to, problem string }{
		"unknown field":   {`"team"`, `"teem"`, "teem: unknown field"},
		"wrong type":      {`"slots_per_server": 3`, `"slots_per_server": "3"`, "services[0].slots_per_server: must be"},
		"out of range":    {`"agreed_ms": 250`, `"agreed_ms": 0`, "services[0].requests[0].agreed_ms: is 0, must be at least 1"},
		"unknown harm":    {`"if_late": "grave"`, `"if_late": "awful"`, `services[0].requests[0].if_late: is "awful", must be one of: none minor grave`},
		"bad address":     {`"ip": "10.20.1.11"`, `"ip": "stock.example"`, "services[0].servers[0].ip"},
		"missing":         {`"team": "swanbrook",`, ``, "team: must be given"},
		"negative budget": {`"measuring_per_second": 8`, `"measuring_per_second": -1`, "services[0].measuring_per_second"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(strings.Join(valid, "\n"), c.from, c.to, 1)
			_, err := Parse([]byte(text))
			require.ErrorContains(t, err, c.problem)
		})
	}
}

func TestAnswersDecide(t *testing.T) {
	service := func(request Request) *config.Service {
		request.Name = "r"
		request.AgreedMs = 100
		answers := &Answers{Team: "t", Services: []Service{{
			Name: "s", Priority: PriorityTail, TypicalMs: 10, SlotsPerServer: 3, ConnectionsPerServer: 200,
			Servers:  []Server{{Name: "a", IP: "10.0.0.1", Port: 80, Zone: "z"}},
			Requests: []Request{request},
		}}}
		proposal, err := Propose(answers)
		require.NoError(t, err)
		return proposal.Services[0]
	}
	for name, c := range map[string]struct {
		request Request
		want    config.RequestType
	}{
		"read, late is grave": {
			Request{IfLate: HarmGrave, IfLost: HarmMinor, IfDoubled: HarmNone},
			config.RequestType{Idempotent: true, MaxAttempts: 3, HedgeAfterMs: 40, QueueMs: 60, PlatformDown: config.OutageServe},
		},
		"read, late is harmless": {
			Request{IfLate: HarmNone, IfLost: HarmMinor, IfDoubled: HarmNone},
			config.RequestType{Idempotent: true, MaxAttempts: 3, QueueMs: 60, PlatformDown: config.OutageServe},
		},
		"doubled and lost are grave": {
			Request{IfLate: HarmMinor, IfLost: HarmGrave, IfDoubled: HarmGrave},
			config.RequestType{MaxAttempts: 2, QueueMs: 60, Recorded: true, PlatformDown: config.OutageServe},
		},
		"doubled is grave, lost is minor": {
			Request{IfLate: HarmMinor, IfLost: HarmMinor, IfDoubled: HarmGrave},
			config.RequestType{MaxAttempts: 2, QueueMs: 60, Recorded: true, PlatformDown: config.OutageRefuse},
		},
		"the operator decides": {
			Request{IfLate: HarmMinor, IfLost: HarmMinor, IfDoubled: HarmGrave, IfPlatformDown: config.OutageServe},
			config.RequestType{MaxAttempts: 2, QueueMs: 60, Recorded: true, PlatformDown: config.OutageServe},
		},
		"doubled is minor": {
			Request{IfLate: HarmMinor, IfLost: HarmMinor, IfDoubled: HarmMinor},
			config.RequestType{MaxAttempts: 2, QueueMs: 60, PlatformDown: config.OutageServe},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c.want.Name = "r"
			c.want.DeadlineMs = 100
			require.Equal(t, c.want, service(c.request).RequestTypes[0])
		})
	}
}

func TestCompare(t *testing.T) {
	inForce := &config.Snapshot{Revision: 7, Services: map[string]*config.Service{}}
	for _, service := range propose(t, examples.Swanbrook).Services {
		inForce.Services[service.Name] = service
	}

	same := propose(t, examples.Swanbrook)
	require.NoError(t, same.Compare("swanbrook", inForce))
	require.Equal(t, uint64(7), same.Base)
	require.Empty(t, same.Changes)
	require.Empty(t, same.Removed)

	answers, err := Parse(examples.Swanbrook)
	require.NoError(t, err)
	answers.Services[0].Requests[0].AgreedMs = 300
	answers.Services[0].Servers = answers.Services[0].Servers[:7]
	answers.Services = answers.Services[:2]
	changed, err := Propose(answers)
	require.NoError(t, err)
	require.NoError(t, changed.Compare("swanbrook", inForce))
	require.Equal(t, []string{"logistics"}, changed.Removed)
	require.Contains(t, changed.Changes, Change{Path: "stock.availability.deadline_ms", From: "250", To: "300"})
	require.Contains(t, changed.Changes, Change{Path: "stock.main.stock-8.zone", From: "perth-b"})
	require.Contains(t, changed.Changes, Change{Path: "logistics", From: "service"})

	foreign := propose(t, examples.Lumenwalk)
	require.ErrorContains(t, foreign.Compare("lumenwalk", inForce), `bookings: is a service of team "swanbrook"`)
}

func TestAskAsksAgainAfterAWrongAnswer(t *testing.T) {
	input := strings.Join([]string{
		"swanbrook", "17",
		"stock", "cost", "soon", "5", "3", "200", "", "",
		"stock-1", "not an address", "10.20.1.11", "8000", "perth-a", "", "n",
		"availability", "250", "awful", "grave", "minor", "none", "", "n",
		"n",
	}, "\n") + "\n"
	var prompts bytes.Buffer
	answers, err := Ask(strings.NewReader(input), &prompts)
	require.NoError(t, err, prompts.String())
	require.Equal(t, &Answers{Team: "swanbrook", EntryVMs: 17, Services: []Service{{
		Name: "stock", Priority: PriorityCost, TypicalMs: 5, SlotsPerServer: 3, ConnectionsPerServer: 200,
		Servers:  []Server{{Name: "stock-1", IP: "10.20.1.11", Port: 8000, Zone: "perth-a"}},
		Requests: []Request{{Name: "availability", AgreedMs: 250, IfLate: HarmGrave, IfLost: HarmMinor, IfDoubled: HarmNone}},
	}}}, answers)
	require.Contains(t, prompts.String(), "must be one of: none minor grave")
	require.Contains(t, prompts.String(), "must be an IP address")

	_, err = Ask(strings.NewReader("swanbrook\n"), &prompts)
	var ended *EndOfInputError
	require.ErrorAs(t, err, &ended)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(Template()))
	f.Add(examples.Lumenwalk)
	f.Add([]byte("// only a comment"))
	f.Add([]byte(`{"team":"a","services":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		answers, err := Parse(data)
		if err != nil {
			return
		}
		proposal, err := Propose(answers)
		if err != nil {
			return
		}
		for _, service := range proposal.Services {
			require.NoError(t, service.Check())
		}
	})
}
