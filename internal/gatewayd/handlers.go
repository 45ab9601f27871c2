package gatewayd

import (
	"net"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/gateway"
)

// portDispatcher passes each request to the handler of the local port at which it arrived.
// It implements callerserver.Handler, callerserver.ConcurrentHandler and
// callerserver.HeaderHandler.
type portDispatcher struct {
	daemon  *Daemon
	gateway *gateway.Gateway
	// directory and ready are port numbers.
	directory, ready int
}

// Serve implements callerserver.Handler.
func (p *portDispatcher) Serve(request *fasthttp.Request, exchange *callerserver.Exchange) {
	switch portOf(exchange.LocalAddr()) {
	case p.directory:
		p.daemon.serveDirectory(request, exchange)
	case p.ready:
		p.daemon.serveReadiness(request, exchange)
	default:
		p.gateway.Serve(request, exchange)
	}
}

// MayRunConcurrently implements callerserver.ConcurrentHandler.
func (p *portDispatcher) MayRunConcurrently(request *fasthttp.Request) bool {
	return p.gateway.MayRunConcurrently(request)
}

// ChecksHeaders implements callerserver.HeaderHandler.
func (p *portDispatcher) ChecksHeaders() bool { return p.gateway.ChecksHeaders() }

// RefuseByHeader implements callerserver.HeaderHandler. Only callers need a key.
func (p *portDispatcher) RefuseByHeader(request *fasthttp.Request, local net.Addr) *fasthttp.Response {
	switch portOf(local) {
	case p.directory, p.ready:
		return nil
	}
	return p.gateway.RefuseByHeader(request)
}

// newPortDispatcher returns the handler for all addresses of the daemon that serve HTTP.
func (d *Daemon) newPortDispatcher() (*portDispatcher, error) {
	directory, err := net.ResolveTCPAddr("tcp4", d.settings.DirectoryAddress)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	ready, err := net.ResolveTCPAddr("tcp4", d.settings.ReadinessAddress)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return &portDispatcher{daemon: d, gateway: d.gateway, directory: directory.Port, ready: ready.Port}, nil
}

// portOf returns the port of a TCP address, or 0 for other addresses.
func portOf(address net.Addr) int {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return 0
	}
	return tcp.Port
}

// serveDirectory tells a caller which entry VMs to use.
func (d *Daemon) serveDirectory(request *fasthttp.Request, exchange *callerserver.Exchange) {
	ttl := min(directoryTTL, d.settings.MaxDirectoryTTL)
	exchange.ReplyOnLoop(d.platform.DirectoryResponse(request, d.node.AdvertisedAddresses(), ttl))
}

// serveReadiness responds to the platform's readiness checks.
func (d *Daemon) serveReadiness(request *fasthttp.Request, exchange *callerserver.Exchange) {
	exchange.ReplyOnLoop(d.platform.ReadinessResponse(request, d.serving.Load()))
}
