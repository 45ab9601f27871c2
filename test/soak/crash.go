package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/standin/targetd"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

const (
	// crashPath starts the paths of requests that crash their target.
	crashPath = "/crash/"
	// crashSends is the number of times that a caller sends such a request.
	crashSends = 6
	// crashLimit is the number of targets that one such request may crash.
	crashLimit = 3
	// crashPause is the pause between two sends.
	crashPause = 200 * time.Millisecond
)

// crash sends a request that crashes its target, again and again, to one entry
// VM after the other.
func (c *caller) crash(path string) {
	entries, err := c.client.Entries()
	if err != nil {
		return
	}
	for resend := range crashSends {
		sendCrash(entries.Addresses[resend%len(entries.Addresses)], c.service, path, resend)
		time.Sleep(crashPause)
	}
}

func sendCrash(entry, service, path string, resend int) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + entry + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.Set(wire.HeaderService, service)
	request.Header.Set(wire.HeaderType, "availability")
	request.Header.Set(wire.HeaderResend, strconv.Itoa(resend))
	request.Header.Set(targetd.HeaderCrash, wire.True)
	request.SetBodyString(path)
	_ = fasthttp.DoTimeout(request, response, 2*callTimeout)
}

// checkCrashes checks that a request that crashes its target stops doing so.
func checkCrashes(events []targetd.Event) []breach {
	crashed := map[string][]targetd.Event{}
	for _, event := range events {
		if event.Kind == targetd.EventBegan && strings.HasPrefix(event.Path, crashPath) {
			crashed[event.Path] = append(crashed[event.Path], event)
		}
	}
	var breaches []breach
	for path, deaths := range crashed {
		if len(deaths) > crashLimit {
			detail := fmt.Sprintf("request %s crashed %d targets, the limit is %d", path, len(deaths), crashLimit)
			breaches = append(breaches, breach{Invariant: "a crashing request is stopped", Detail: detail, Trace: eventLines(deaths)})
		}
	}
	return breaches
}

func eventLines(events []targetd.Event) []string {
	var lines []string
	for _, event := range events {
		lines = append(lines, fmt.Sprintf("%s %s at %s, attempt %s", event.Target, event.Kind, clock(event.At), event.AttemptID))
	}
	return lines
}
