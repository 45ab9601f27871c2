// Package framing finds the ends of HTTP/1.1 messages that arrive in pieces, so that the codec
// is called once, with a whole message. It tells incomplete messages from invalid ones.
package framing

import (
	"bytes"
	"fmt"
)

const (
	// MaxChunkLineBytes is the maximum size of the line with a chunk's size and extensions.
	MaxChunkLineBytes = 4 << 10
	// MaxTrailerBytes is the maximum size of all trailers.
	MaxTrailerBytes = 16 << 10

	// maxSizeDigits bounds the hexadecimal digits of a chunk's size, so that it fits an int.
	maxSizeDigits = 15
	crlfBytes     = 2
)

var crlf = []byte("\r\n")

// ChunkError reports a chunked body that is invalid or exceeds a limit.
type ChunkError struct {
	// Problem says what is wrong.
	Problem Problem
	// Offset is the position in the body.
	Offset int
}

// Problem is what is wrong with a chunked body.
type Problem string

// Problems of chunked bodies.
const (
	InvalidSize     Problem = "invalid chunk size"
	LineTooLong     Problem = "chunk size line too long"
	MissingCRLF     Problem = "no CRLF at the end of a chunk"
	TrailersTooLong Problem = "trailers too long"
	BodyTooLarge    Problem = "body too large"
)

// Error implements error.
func (e *ChunkError) Error() string {
	return fmt.Sprintf("framing: %s at byte %d of the body", e.Problem, e.Offset)
}

// Chunks finds the end of one chunked body. It looks at each byte of the framing once and skips
// the data. The zero value is ready for use.
type Chunks struct {
	// MaxPayload is the maximum size of the decoded body. 0 means no limit.
	MaxPayload int

	// offset is the position up to which the body was scanned: the start of a line or, while
	// inData is set, the end of the data of a chunk, which may not have arrived.
	offset int
	inData bool
	// searched is the number of bytes after offset that contain no line end.
	searched int
	// payload is the size of the decoded body so far.
	payload int
	// trailerStart is the start of the trailers, 0 before the last chunk.
	trailerStart int
}

// Payload returns the size of the decoded body, as far as it was scanned.
func (c *Chunks) Payload() int { return c.payload }

// TrailerStart returns the position of the trailers in the body, once Scan has found its end.
func (c *Chunks) TrailerStart() int { return c.trailerStart }

// Scan continues with a longer body, which begins with the same bytes as in earlier calls. It
// returns the size of the encoded body with its trailers, and true, once it is complete. While
// it is incomplete, it returns the size that is needed at least. The error is a *ChunkError.
func (c *Chunks) Scan(body []byte) (size int, complete bool, err error) {
	for c.offset < len(body) || c.inData {
		if c.offset > len(body) {
			return c.offset, false, nil
		}
		if c.inData {
			if err := c.endChunk(body); err != nil {
				return 0, false, err
			}
			continue
		}
		line, found := c.nextLine(body)
		if !found {
			return len(body) + 1, false, c.checkLineLength(len(body))
		}
		if c.trailerStart == 0 {
			err = c.beginChunk(line)
		} else if complete, err = c.endTrailer(line); complete {
			return c.offset, true, nil
		}
		if err != nil {
			return 0, false, err
		}
	}
	return len(body) + 1, false, nil
}

// nextLine returns the line at offset with its end and moves offset behind it. It returns false if
// the line is incomplete.
func (c *Chunks) nextLine(body []byte) ([]byte, bool) {
	rest := body[c.offset:]
	end := bytes.IndexByte(rest[c.searched:], '\n')
	if end < 0 {
		c.searched = len(rest)
		return nil, false
	}
	end += c.searched
	c.searched = 0
	c.offset += end + 1
	return rest[:end+1], true
}

// checkLineLength returns an error if the incomplete line at offset is too long.
func (c *Chunks) checkLineLength(size int) error {
	if c.trailerStart > 0 && size-c.trailerStart > MaxTrailerBytes {
		return c.problem(TrailersTooLong)
	}
	if c.trailerStart == 0 && size-c.offset > MaxChunkLineBytes {
		return c.problem(LineTooLong)
	}
	return nil
}

// beginChunk moves offset behind the data of the chunk that begins with the given line, which
// was the last one before offset.
func (c *Chunks) beginChunk(line []byte) error {
	size, problem := parseSizeLine(line)
	if problem != "" {
		return c.problem(problem)
	}
	if size == 0 {
		c.trailerStart = c.offset
		return nil
	}
	if c.MaxPayload > 0 && size > c.MaxPayload-c.payload {
		return c.problem(BodyTooLarge)
	}
	c.payload += size
	c.offset += size + crlfBytes
	c.inData = true
	return nil
}

// endChunk checks the end of the data before offset.
func (c *Chunks) endChunk(body []byte) error {
	if !bytes.Equal(body[c.offset-crlfBytes:c.offset], crlf) {
		return c.problem(MissingCRLF)
	}
	c.inData = false
	return nil
}

// endTrailer handles a line of the trailers, which was the last one before offset. It returns
// true at the end of the trailers.
func (c *Chunks) endTrailer(line []byte) (bool, error) {
	if c.offset-c.trailerStart > MaxTrailerBytes {
		return false, c.problem(TrailersTooLong)
	}
	return isEmptyLine(line), nil
}

// isEmptyLine reports whether a line consists of its end.
func isEmptyLine(line []byte) bool { return bytes.Equal(line, crlf) || len(line) == 1 }

func (c *Chunks) problem(p Problem) error { return &ChunkError{Problem: p, Offset: c.offset} }

// parseSizeLine returns the size on the line at the start of a chunk, or what is wrong with the
// line. It accepts what the codec accepts when it decodes a complete body, so that an invalid body
// is found where it becomes invalid.
func parseSizeLine(line []byte) (int, Problem) {
	line, found := bytes.CutSuffix(line, crlf)
	if len(line) > MaxChunkLineBytes {
		return 0, LineTooLong
	}
	if !found || bytes.IndexByte(line, '\r') >= 0 {
		return 0, InvalidSize
	}
	return parseSize(line)
}

// parseSize parses the hexadecimal size at the start of a chunk's line. Extensions are ignored.
func parseSize(line []byte) (int, Problem) {
	size, digits := 0, 0
	for digits < len(line) {
		digit, ok := hexDigit(line[digits])
		if !ok {
			break
		}
		size = size<<4 | digit
		digits++
		if digits > maxSizeDigits {
			return 0, InvalidSize
		}
	}
	rest := line[digits:]
	extended := len(rest) > 0 && rest[0] == ';'
	if digits == 0 || !extended && len(bytes.TrimLeft(rest, " \t")) > 0 {
		return 0, InvalidSize
	}
	return size, ""
}

func hexDigit(c byte) (int, bool) {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0'), true
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10, true
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10, true
	}
	return 0, false
}
