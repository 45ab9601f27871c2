// Package headerreader lends the buffered readers through which fasthttp's codec
// reads messages that are already in memory.
package headerreader

import (
	"bufio"
	"bytes"
	"sync"
)

// pooledBytes is the buffer of a pooled reader. The codec needs a buffer that
// holds a whole header; longer ones get a reader of their own.
const pooledBytes = 4 << 10

// Reader reads a message. It must not be used after Release.
type Reader struct {
	// Buffered is what the codec reads from.
	Buffered *bufio.Reader

	source bytes.Reader
}

var pool = sync.Pool{New: func() any { return newReader(pooledBytes) }}

func newReader(size int) *Reader {
	r := &Reader{}
	r.Buffered = bufio.NewReaderSize(&r.source, size)
	return r
}

// Acquire returns a reader of message that can hold a header of headerBytes at
// once.
func Acquire(message []byte, headerBytes int) *Reader {
	r := acquire(headerBytes)
	r.source.Reset(message)
	r.Buffered.Reset(&r.source)
	return r
}

func acquire(headerBytes int) *Reader {
	if headerBytes > pooledBytes {
		return newReader(headerBytes)
	}
	return pool.Get().(*Reader)
}

// Rest returns the number of bytes of the message that were not read.
func (r *Reader) Rest() int { return r.source.Len() + r.Buffered.Buffered() }

// Release gives the reader back.
func (r *Reader) Release() {
	r.source.Reset(nil)
	r.Buffered.Reset(&r.source)
	if r.Buffered.Size() == pooledBytes {
		pool.Put(r)
	}
}
