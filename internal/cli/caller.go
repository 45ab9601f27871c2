package cli

import (
	"strings"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/client"
)

// callerFlags are the flags of the commands that act as a caller.
type callerFlags struct {
	entries     string
	service     string
	requestType string
	path        string
	body        string
	once        bool
}

func (f *callerFlags) attach(sub *flaggy.Subcommand) {
	f.path = "/"
	sub.String(&f.entries, "e", "entries", "ip:port of entry VMs to ask, separated by commas")
	sub.String(&f.service, "s", "service", "service to call")
	sub.String(&f.requestType, "t", "type", "request type")
	sub.String(&f.path, "", "path", "path of each request")
	sub.String(&f.body, "b", "body", "body of each request; @file reads a file, @- standard input")
	sub.Bool(&f.once, "", "once", "send a new idempotency key with each request")
}

func (f *callerFlags) check() error {
	return requireFlags(requirement{"entries", f.entries}, requirement{"service", f.service}, requirement{"type", f.requestType})
}

// caller returns a client of the service with up to maxConnections connections to
// each entry VM; 0 means the client's default.
func (f *callerFlags) caller(maxConnections int) *client.Client {
	return client.New(client.Options{
		Bootstrap:      strings.Split(f.entries, ","),
		Service:        f.service,
		MaxConnections: maxConnections,
	})
}

// request returns the request without its key and timeout.
func (f *callerFlags) request(streams Streams) (client.Request, error) {
	request := client.Request{Type: f.requestType, Path: f.path, Body: []byte(f.body)}
	path, isFile := strings.CutPrefix(f.body, "@")
	if !isFile {
		return request, nil
	}
	var err error
	request.Body, err = readInput(streams, path)
	return request, err
}

// addKey gives the request an idempotency key if one is to be sent.
func (f *callerFlags) addKey(caller *client.Client, request *client.Request) (err error) {
	if f.once {
		request.Key, err = caller.NewKey()
	}
	return err
}
