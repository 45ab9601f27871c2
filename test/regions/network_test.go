package regions

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/poplarwheel/poplarwheel/internal/netdial"
)

// network carries the connections between regions. While it is cut, it holds back
// every byte and opens no connection, as routers that drop packets do; afterwards
// what was held back arrives.
type network struct {
	relay net.Listener

	mu     sync.Mutex
	healed *sync.Cond
	cut    bool
	ended  bool
	// regions are the regions of IP addresses.
	regions map[string]string
}

func startNetwork(t *testing.T, address string) *network {
	t.Helper()
	relay, err := net.Listen("tcp", address)
	require.NoError(t, err)
	n := &network{relay: relay, regions: map[string]string{}}
	n.healed = sync.NewCond(&n.mu)
	go n.accept()
	t.Cleanup(n.close)
	return n
}

func (n *network) close() {
	_ = n.relay.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	n.healed.Broadcast()
}

func (n *network) place(ip, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions[ip] = region
}

// setCut cuts or heals the network.
func (n *network) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	n.healed.Broadcast()
}

func (n *network) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

// await waits until the network isn't cut.
func (n *network) await() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.cut && !n.ended {
		n.healed.Wait()
	}
}

func (n *network) crosses(region, address string) bool {
	host, _, _ := net.SplitHostPort(address)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.regions[host] != region
}

// dialFrom returns how processes of a region open connections.
func (n *network) dialFrom(region string) netdial.Func {
	return func(ctx context.Context, address string) (net.Conn, error) {
		if !n.crosses(region, address) {
			return netdial.Direct(ctx, address)
		}
		if n.isCut() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := netdial.Direct(ctx, n.relay.Addr().String())
		if err != nil {
			return nil, err
		}
		_, err = io.WriteString(conn, address+"\n")
		return conn, err
	}
}

func (n *network) accept() {
	for {
		conn, err := n.relay.Accept()
		if err != nil {
			return
		}
		go n.carry(conn)
	}
}

// carry joins a connection to the address that it names first.
func (n *network) carry(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	address, err := reader.ReadString('\n')
	if err != nil {
		return
	}
	far, err := net.Dial("tcp", strings.TrimSpace(address))
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	go n.copy(far, reader)
	n.copy(conn, far)
}

// serve carries the connections that a listener takes to address.
func (n *network) serve(listener net.Listener, address string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			n.await()
			far, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer func() { _ = far.Close() }()
			go n.copy(far, conn)
			n.copy(conn, far)
		}()
	}
}

// copy passes bytes on while the network isn't cut, and the end of the stream.
func (n *network) copy(to net.Conn, from io.Reader) {
	buffer := make([]byte, 32<<10)
	for {
		size, err := from.Read(buffer)
		n.await()
		if size > 0 {
			if _, err := to.Write(buffer[:size]); err != nil {
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
