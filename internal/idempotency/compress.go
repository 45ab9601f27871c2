package idempotency

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	// deflateMark is the first byte of a value whose rest is a DEFLATE stream. No
	// JSON text starts with it.
	deflateMark = 0x01
	// maxPlainBytes bounds a decompressed value.
	maxPlainBytes = 4 << 20
)

// compressors holds *flate.Writer values. Each takes about a megabyte.
var compressors = sync.Pool{New: func() any {
	writer, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a valid constant
	}
	return writer
}}

// compress returns the compressed form of a value.
func compress(plain []byte) ([]byte, error) {
	var value bytes.Buffer
	value.WriteByte(deflateMark)
	writer := compressors.Get().(*flate.Writer)
	defer compressors.Put(writer)
	writer.Reset(&value)
	if _, err := writer.Write(plain); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return value.Bytes(), nil
}

// decompress returns the plain form of a value. Values without deflateMark are
// plain.
func decompress(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != deflateMark {
		return value, nil
	}
	reader := flate.NewReader(bytes.NewReader(value[1:]))
	plain, err := io.ReadAll(io.LimitReader(reader, maxPlainBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxPlainBytes {
		return nil, &PlainSizeError{Limit: maxPlainBytes}
	}
	return plain, nil
}

// PlainSizeError reports a value that is too large once decompressed.
type PlainSizeError struct {
	// Limit is the largest size, in bytes.
	Limit int
}

// Error implements error.
func (e *PlainSizeError) Error() string { return fmt.Sprintf("has more than %d bytes", e.Limit) }
