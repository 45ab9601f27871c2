package strictjson

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type document struct {
	Name  string   `json:"name" validate:"required,max=4"`
	Count uint     `json:"count" validate:"max=9"`
	Share float64  `json:"share" validate:"min=0,max=1"`
	On    bool     `json:"on"`
	Parts []part   `json:"parts" validate:"max=2,unique=Name,dive"`
	Limit *float64 `json:"limit,omitempty" validate:"omitempty,min=1"`
	Zone  string   `json:"zone,omitempty" validate:"omitempty,identifier"`
}

type part struct {
	Name string `json:"name" validate:"required"`
}

func TestUnmarshalNamesEveryProblem(t *testing.T) {
	for data, problem := range map[string]string{
		`{"name":"a"}`:                "",
		`{"name":"a","limit":2}`:      "",
		`{}`:                          "name: must be given",
		`{"name":"a","limit":0.5}`:    "limit: is 0.5, must be at least 1",
		`{"name":"abcde"}`:            "name: has 5 characters, must have at most 4",
		`{"name":"a","Name":"b"}`:     "Name: unknown field",
		`{"name":"a","name":"b"}`:     "name: is given twice",
		`{"name":"a","count":-1}`:     "count: must be a whole number, 0 or more, not such a number",
		`{"name":"a","count":1e99}`:   "count: must be a whole number, 0 or more, not such a number",
		`{"name":"a","share":"half"}`: "share: must be a number, not text",
		`{"name":"a","on":1}`:         "on: must be true or false, not such a number",
		`{"name":"a","parts":{}}`:     "parts: must be a list, not an object",
		`{"name":"a","parts":[{"name":"x"},{"nome":"y"}]}`:              "parts[1].nome: unknown field",
		`{"name":"a","parts":[{"name":"x"},{}]}`:                        "parts[1].name: must be given",
		`{"name":"a","parts":[{"name":"x"},{"name":"x"}]}`:              "parts: must not repeat a name",
		`{"name":"a","parts":[{"name":"x"},{"name":"y"},{"name":"z"}]}`: "parts: has 3 entries, must have at most 2",
		`{"count":10,"share":2}`:                                        "name: must be given; count: is 10, must be at most 9; share: is 2, must be at most 1",
		`[1]`:                                                           "must be an object, not a list",
	} {
		err := Unmarshal([]byte(data), &document{})
		if problem == "" {
			require.NoError(t, err, data)
			continue
		}
		require.EqualError(t, err, problem, data)
	}
}

func FuzzUnmarshal(f *testing.F) {
	for _, seed := range []string{`{"name":"a","parts":[{"name":"x"}]}`, `{"name":"a","name":"b"}`, `{"limit":1e400}`, `{"a/b~1":[]}`, "", "\xff", `{"parts":[[[[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded document
		err := Unmarshal(data, &decoded)
		if err == nil {
			require.NoError(t, Validate(&decoded))
			return
		}
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid)
		require.NotEmpty(t, invalid.Error())
	})
}
