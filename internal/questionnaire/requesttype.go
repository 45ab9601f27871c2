package questionnaire

import "github.com/poplarwheel/poplarwheel/internal/config"

const (
	// hedgeMultiple times the typical service time is the delay of a hedge.
	hedgeMultiple = 4
	// runMultiple times the typical service time is kept for the run itself.
	runMultiple = 4
	// minQueueShare of the agreed time may always be spent waiting for a slot.
	minQueueShare = 4
	// repeatableAttempts bounds the attempts of an idempotent request.
	repeatableAttempts = 3
	// onceAttempts bounds the attempts of a non-idempotent request.
	onceAttempts = 2
)

func (p *Proposal) requestType(service *Service, answers *Request) config.RequestType {
	path := service.Name + "." + answers.Name
	requestType := config.RequestType{
		Name:       answers.Name,
		DeadlineMs: answers.AgreedMs,
		Idempotent: answers.IfDoubled == HarmNone,
	}
	p.because(path+".deadline_ms", answers.AgreedMs, "the agreed time")
	p.because(path+".idempotent", requestType.Idempotent, "harm of running twice: %s", answers.IfDoubled)
	p.queue(path, service, answers, &requestType)
	if requestType.Idempotent {
		p.repeatable(path, service, answers, &requestType)
	} else {
		p.once(path, answers, &requestType)
	}
	return requestType
}

func (p *Proposal) queue(path string, service *Service, answers *Request, requestType *config.RequestType) {
	requestType.QueueMs = max(answers.AgreedMs-runMultiple*service.TypicalMs, answers.AgreedMs/minQueueShare)
	p.because(path+".queue_ms", requestType.QueueMs, "the agreed time less %d typical service times for the run, and a quarter of it at least", runMultiple)
}

func (p *Proposal) repeatable(path string, service *Service, answers *Request, requestType *config.RequestType) {
	requestType.MaxAttempts = repeatableAttempts
	p.because(path+".max_attempts", repeatableAttempts, "the request may run more than once")
	p.because(path+".recorded", false, "harm of running twice: %s", answers.IfDoubled)
	requestType.PlatformDown = config.OutageServe
	p.because(path+".platform_down", config.OutageServe, "an idempotent request needs no record on the platform")
	if answers.IfLate != HarmNone {
		requestType.HedgeAfterMs = min(service.TypicalMs*hedgeMultiple, max(answers.AgreedMs/2, 1))
	}
	p.because(path+".hedge_after_ms", requestType.HedgeAfterMs, "%d typical service times, half the agreed time at most; harm of a late answer: %s", hedgeMultiple, answers.IfLate)
}

func (p *Proposal) once(path string, answers *Request, requestType *config.RequestType) {
	requestType.MaxAttempts = onceAttempts
	p.because(path+".max_attempts", onceAttempts, "another attempt is made only if the first has not run")
	p.because(path+".hedge_after_ms", 0, "a request that must not run twice is never hedged")
	requestType.Recorded = answers.IfDoubled == HarmGrave
	p.because(path+".recorded", requestType.Recorded, "harm of running twice: %s", answers.IfDoubled)
	p.platformDown(path, answers, requestType)
}

func (p *Proposal) platformDown(path string, answers *Request, requestType *config.RequestType) {
	path += ".platform_down"
	switch {
	case answers.IfPlatformDown != "":
		requestType.PlatformDown = answers.IfPlatformDown
		p.because(path, requestType.PlatformDown, "the answer to if_platform_down")
	case requestType.Recorded && answers.IfLost != HarmGrave:
		requestType.PlatformDown = config.OutageRefuse
		p.because(path, requestType.PlatformDown, "harm of running twice is grave and of not running only %s", answers.IfLost)
	default:
		requestType.PlatformDown = config.OutageServe
		p.because(path, requestType.PlatformDown, "harm of not running: %s; of running twice: %s", answers.IfLost, answers.IfDoubled)
	}
}
