// Package headerreader pools the buffered readers through which fasthttp's codec parses
// messages that are already in memory.
package headerreader

import (
	"bufio"
	"bytes"
	"sync"
)

// pooledBufferBytes is the buffer size of pooled readers. The codec needs a buffer that
// holds a whole header, so a longer header gets a reader that is not pooled.
const pooledBufferBytes = 4 << 10

// Reader reads a message. It must not be used after Release.
type Reader struct {
	// Buffered is the reader to pass to the codec.
	Buffered *bufio.Reader

	source bytes.Reader
}

var pool = sync.Pool{New: func() any { return newReader(pooledBufferBytes) }}

func newReader(size int) *Reader {
	r := &Reader{}
	r.Buffered = bufio.NewReaderSize(&r.source, size)
	return r
}

// Acquire returns a reader of message whose buffer holds at least headerBytes.
func Acquire(message []byte, headerBytes int) *Reader {
	r := acquire(headerBytes)
	r.source.Reset(message)
	r.Buffered.Reset(&r.source)
	return r
}

func acquire(headerBytes int) *Reader {
	if headerBytes > pooledBufferBytes {
		return newReader(headerBytes)
	}
	return pool.Get().(*Reader)
}

// Unread returns the number of bytes of the message that were not read.
func (r *Reader) Unread() int { return r.source.Len() + r.Buffered.Buffered() }

// Release drops the message and returns the reader to the pool, if it is a pooled one.
func (r *Reader) Release() {
	r.source.Reset(nil)
	r.Buffered.Reset(&r.source)
	if r.Buffered.Size() == pooledBufferBytes {
		pool.Put(r)
	}
}
