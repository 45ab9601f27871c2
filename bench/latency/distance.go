package main

import (
	"io"
	"net"
	"time"
)

// chunkBytes is the most that the relay passes on at once.
const chunkBytes = 16 << 10

// relay imitates a distance: what goes to address and back arrives later by
// oneWay. It returns the relay's own address.
func relay(address string, oneWay time.Duration) (string, io.Closer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go connect(near, address, oneWay)
		}
	}()
	return listener.Addr().String(), listener, nil
}

func connect(near net.Conn, address string, oneWay time.Duration) {
	far, err := net.Dial("tcp", address)
	if err != nil {
		_ = near.Close()
		return
	}
	go passOn(far, near, oneWay)
	passOn(near, far, oneWay)
}

// passOn copies one direction. Requests and answers of the bench take turns, so
// waiting for each chunk doesn't hold up the next.
func passOn(to, from net.Conn, oneWay time.Duration) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(oneWay)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
