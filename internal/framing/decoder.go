package framing

import "bytes"

// Decoder decodes one chunked body that arrives in pieces, of which it keeps only the framing of the
// current line and the trailers. It accepts what Chunks accepts. The zero value is ready for use.
type Decoder struct {
	// MaxPayload is the maximum size of the decoded body. 0 means no limit.
	MaxPayload int

	phase decoderPhase
	// line is the beginning of a line that has arrived in part.
	line []byte
	// left is the number of bytes of the current chunk that have yet to arrive.
	left int
	// payload is the size of the chunks so far, with all of the current one.
	payload int
	// offset is the number of bytes that were decoded.
	offset int
	// trailers are the lines after the last chunk, up to the empty one.
	trailers []byte
}

type decoderPhase int

const (
	inSizeLine decoderPhase = iota
	inData
	inDataEnd
	inTrailers
)

// Offset returns the number of bytes of the encoded body that were decoded.
func (d *Decoder) Offset() int { return d.offset }

// Trailers returns the lines after the last chunk with the empty one, once the body is complete.
func (d *Decoder) Trailers() []byte { return d.trailers }

// Next decodes the start of piece, which follows the bytes that were decoded before. It returns the
// data that it has found, which is a part of piece, the number of bytes that it has decoded, and true
// at the end of the body. Data is empty after a line. A piece that isn't empty is never left
// undecoded. The error is a *ChunkError.
func (d *Decoder) Next(piece []byte) (data []byte, decoded int, complete bool, err error) {
	if d.phase == inData {
		data = piece[:min(len(piece), d.left)]
		d.left -= len(data)
		if d.left == 0 {
			d.phase = inDataEnd
		}
		d.offset += len(data)
		return data, len(data), false, nil
	}
	if d.phase == inDataEnd {
		decoded, err = d.endData(piece)
		return nil, decoded, false, err
	}
	line, decoded := d.nextLine(piece)
	d.offset += decoded
	if line == nil {
		return nil, decoded, false, d.checkLine()
	}
	if d.phase == inSizeLine {
		err = d.beginChunk(line)
	} else {
		complete, err = d.endTrailer(line)
	}
	d.line = d.line[:0]
	return nil, decoded, complete, err
}

// endData decodes the line end behind the data of a chunk.
func (d *Decoder) endData(piece []byte) (decoded int, err error) {
	decoded = min(len(piece), crlfBytes-len(d.line))
	d.line = append(d.line, piece[:decoded]...)
	d.offset += decoded
	if len(d.line) < crlfBytes {
		return decoded, nil
	}
	if !bytes.Equal(d.line, crlf) {
		return decoded, d.problem(MissingCRLF)
	}
	d.phase, d.line = inSizeLine, d.line[:0]
	return decoded, nil
}

// nextLine returns the current line with its end if it ends in piece. Otherwise it keeps the bytes
// and returns nil. decoded is the number of bytes that it has used.
func (d *Decoder) nextLine(piece []byte) (line []byte, decoded int) {
	end := bytes.IndexByte(piece, '\n')
	if end >= 0 && len(d.line) == 0 {
		return piece[:end+1], end + 1
	}
	decoded = end + 1
	if end < 0 {
		// A line that is too long is kept only up to the size at which that is known.
		decoded = min(len(piece), MaxTrailerBytes)
	}
	d.line = append(d.line, piece[:decoded]...)
	if end < 0 {
		return nil, decoded
	}
	return d.line, decoded
}

// checkLine returns an error if the current line, which is incomplete, can't become valid.
func (d *Decoder) checkLine() error {
	switch {
	case d.phase == inSizeLine && len(d.line) > MaxChunkLineBytes:
		return d.problem(LineTooLong)
	case d.phase == inTrailers && len(d.trailers)+len(d.line) > MaxTrailerBytes:
		return d.problem(TrailersTooLong)
	}
	return nil
}

// beginChunk begins the chunk with the given size line.
func (d *Decoder) beginChunk(line []byte) error {
	size, problem := parseSizeLine(line)
	if problem != "" {
		return d.problem(problem)
	}
	if size == 0 {
		d.phase = inTrailers
		return nil
	}
	if d.MaxPayload > 0 && size > d.MaxPayload-d.payload {
		return d.problem(BodyTooLarge)
	}
	d.payload += size
	d.left = size
	d.phase = inData
	return nil
}

// endTrailer keeps a line of the trailers. It returns true at the empty one.
func (d *Decoder) endTrailer(line []byte) (bool, error) {
	if len(d.trailers)+len(line) > MaxTrailerBytes {
		return false, d.problem(TrailersTooLong)
	}
	d.trailers = append(d.trailers, line...)
	return isEmptyLine(line), nil
}

func (d *Decoder) problem(p Problem) error { return &ChunkError{Problem: p, Offset: d.offset} }
