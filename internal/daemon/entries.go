package daemon

import (
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/callerserver"
	"github.com/poplarwheel/poplarwheel/internal/config"
	"github.com/poplarwheel/poplarwheel/internal/entryset"
	"github.com/poplarwheel/poplarwheel/internal/wire"
)

// reasonUnknownService is the error code for a service that isn't configured.
const reasonUnknownService = "unknown_service"

// Serve implements callerserver.Handler.
func (d *Daemon) Serve(request *fasthttp.Request, exchange *callerserver.Exchange) {
	if string(request.URI().Path()) == wire.PathEntries {
		exchange.ReplyOnLoop(d.entries(string(request.URI().QueryArgs().Peek("service"))))
		return
	}
	exchange.Observe(d.seriesOf(request))
	d.proxy.Serve(request, exchange)
}

// entries answers which entry VMs serve a service.
func (d *Daemon) entries(name string) *fasthttp.Response {
	snapshot := d.snapshot.Load()
	service := snapshot.Services[name]
	if service == nil {
		return callerserver.ErrorResponse(fasthttp.StatusNotFound, wire.ErrorReply{
			Outcome: wire.OutcomeNotRun,
			Reason:  reasonUnknownService,
			Detail:  "no configured service has this name",
		})
	}
	token := d.once.guard.Token(time.Now(), recorded(service))
	response := &fasthttp.Response{}
	callerserver.SetJSON(response, wire.EntriesReply{
		Service:      name,
		Entries:      d.entryAddresses(service),
		KeepSeconds:  d.settings.KeepSeconds,
		SessionToken: token.String(),
		Revision:     snapshot.Revision,
	})
	return response
}

// entryAddresses returns the caller addresses of a service's entry set.
func (d *Daemon) entryAddresses(service *config.Service) []string {
	members := entryset.InRegion(d.members.list(), d.settings.Region)
	chosen := entryset.Choose(service.Name, members, entryset.Size(service.EntrySetSize, service.CallsPerSecond))
	if len(chosen) == 0 {
		return []string{d.settings.CallerAddress()}
	}
	addresses := make([]string, len(chosen))
	for i, member := range chosen {
		addresses[i] = net.JoinHostPort(member.IP, strconv.Itoa(d.settings.CallerPort))
	}
	return addresses
}
