//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// requester sends requests to the front of one daemon.
type requester struct {
	run    *run
	daemon *daemon
	client *http.Client
	// key is that of the requester's tenant, empty without one.
	key string
}

// answer is the end of a request.
type answer struct {
	id          string
	sent, ended time.Time
	status      int
	body        string
	signed      bool
	err         error
}

var lastRequest atomic.Int64

func (r *run) requester(d *daemon) *requester {
	return &requester{run: r, daemon: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}}
}

// do sends a request and waits for its answer.
func (q *requester) do(method, path, body string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%s-%06d", q.daemon.name, lastRequest.Add(1)), sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+q.daemon.at(frontPort)+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = callerHost
	request.Header.Set(headerRequestID, a.id)
	request.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	if q.key != "" {
		request.Header.Set("Authorization", "Token "+q.key)
	}
	response, err := q.client.Do(request)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body = response.StatusCode, strings.TrimSpace(string(data))
		a.signed = response.Header.Get(headerSignature) != ""
	}
	a.err, a.ended = err, time.Now()
	return a
}

// log writes an answer to the record.
func (q *requester) log(a answer, path string) {
	q.run.logf("%s via %s %s sent %.3f ended %.3f status %d %q err %v", a.id, q.daemon.name, path, q.run.since(a.sent), q.run.since(a.ended), a.status, a.body, a.err)
}
