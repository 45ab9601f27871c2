package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
)

// answers fills in the questionnaire: the first half of the targets serves
// stock, the rest logistics. TypicalMs is what operators change.
func (r *runner) answers(typicalMs int) *questionnaire.Answers {
	half := r.options.targets / 2
	return &questionnaire.Answers{Team: "swanbrook", Services: []questionnaire.Service{
		r.service("stock", typicalMs, r.fleet.Servers(0, half-1), questionnaire.HarmGrave),
		r.service("logistics", typicalMs, r.fleet.Servers(half, r.options.targets-1), questionnaire.HarmMinor),
	}}
}

func (r *runner) service(name string, typicalMs int, servers []questionnaire.Server, doubled questionnaire.Harm) questionnaire.Service {
	budget := measuringBudget
	return questionnaire.Service{
		Name:                 name,
		Priority:             questionnaire.PriorityTail,
		TypicalMs:            typicalMs,
		SlotsPerServer:       3,
		ConnectionsPerServer: 200,
		MeasuringPerSecond:   &budget,
		Servers:              servers,
		Requests: []questionnaire.Request{
			{Name: "availability", AgreedMs: int(callTimeout.Milliseconds()), IfLate: questionnaire.HarmGrave, IfLost: questionnaire.HarmMinor, IfDoubled: questionnaire.HarmNone},
			{Name: "book", AgreedMs: int(callTimeout.Milliseconds()), IfLate: questionnaire.HarmMinor, IfLost: questionnaire.HarmGrave, IfDoubled: doubled},
		},
	}
}

// operate changes the configuration now and then, against other operators.
func (r *runner) operate(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(r.options.seed, uint64(200+number)))
	by := fmt.Sprintf("operator-%d", number)
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(meanDecision)))
		revision, err := r.fleet.Accept(r.answers(3+rng.IntN(5)), by)
		if err == nil {
			r.history.addAcceptance(acceptance{Revision: revision, By: by, At: time.Now()})
		}
	}
}
