package reaper

import (
	"bytes"
	"strconv"
	"sync"

	"github.com/figtrack/figtrack/limiter"
)

// maxPartBytes is the longest header block that framing holds; net/http allows less.
const maxPartBytes = 1 << 20

// framing follows the requests on a caller's connection as its bytes are read. It notes
// which of them have a body in chunks and a Content-Length, as net/http silently removes
// that field from them. Bodies and trailers aren't searched.
type framing struct {
	mu    sync.Mutex
	state framingState
	// part holds the bytes so far of a header block, or of a line of a chunked body;
	// nil between two reads that hold whole ones.
	part []byte
	// bodyLeft is the number of bytes left of a body or a chunk; not zero in inBody and
	// inChunk.
	bodyLeft uint64
	// requests holds a note for each request whose header block is complete, from the
	// one that is being served on. net/http reads few bytes ahead.
	requests []requestNote
	// isEncrypted is true if the bytes aren't those of requests. None is observed then.
	isEncrypted bool
	// bounds bounds the memory of heads.
	bounds HeadBounds
	// head is the size of the header block that is being read.
	head limiter.Head
	// verdict isn't Accepted once a header block was refused. Nothing more is observed.
	verdict limiter.Verdict
	// isCut is true once the connection was closed before its first request.
	isCut bool
}

// requestNote is what is known of a request whose header block is complete.
type requestNote struct {
	hasTwoLengths bool
	// acquired is what its head has taken of the quota.
	acquired limiter.Bytes
}

// framingState is the part of a request that the next byte belongs to.
type framingState int

const (
	inHeader framingState = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
	// isLost means that net/http refuses the bytes or reads them in another way. All
	// requests that follow count as having two lengths.
	isLost
)

// observe takes the bytes that were read from the connection, in order.
func (f *framing) observe(p []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(p) > 0 && !f.isEncrypted && f.state != isLost && f.verdict == limiter.Accepted {
		if f.state == inBody || f.state == inChunk {
			n := min(f.bodyLeft, uint64(len(p)))
			f.bodyLeft -= n
			p = p[n:]
			f.endData()
			continue
		}
		known, seen := len(f.part), p
		if known > 0 {
			seen = append(f.part, p...)
		}
		end := f.partEnd(seen, known)
		if f.state == inHeader && !f.addToHead(seen[known:], end-known) {
			return
		}
		if end == 0 {
			if known == 0 {
				seen = bytes.Clone(p)
			}
			f.part = seen
			if len(seen) > maxPartBytes {
				f.state = isLost
			}
			return
		}
		f.part, p = nil, p[end-known:]
		f.endPart(seen[:end])
	}
}

// endData goes on to what follows a body or a chunk, if no more is left of it.
func (f *framing) endData() {
	switch {
	case f.bodyLeft > 0:
	case f.state == inBody:
		f.state = inHeader
	default:
		f.state = inChunkEnd
	}
}

// partEnd returns the length of the header block or of the line that seen begins with;
// zero if it isn't complete. No end is among the known bytes.
func (f *framing) partEnd(seen []byte, known int) int {
	for at := known; ; {
		i := bytes.IndexByte(seen[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		if f.state != inHeader {
			return at
		}
		line := seen[bytes.LastIndexByte(seen[:at-1], '\n')+1 : at-1]
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return at
		}
	}
}

// endPart handles a complete header block or line.
func (f *framing) endPart(part []byte) {
	part = bytes.Trim(part, "\r\n")
	switch f.state {
	case inHeader:
		acquired := f.head.Take()
		if len(part) > 0 { // Empty lines may come before a request.
			f.endHeader(part, acquired)
		}
	case inChunkSize:
		size, _, _ := bytes.Cut(part, []byte(";"))
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 64)
		f.bodyLeft, f.state = n, inChunk
		switch {
		case err != nil:
			f.state = isLost
		case n == 0:
			f.state = inTrailer
		}
	case inChunkEnd:
		f.state = inChunkSize
		if len(part) > 0 {
			f.state = isLost
		}
	case inTrailer:
		if len(part) == 0 {
			f.state = inHeader
		}
	}
}

// endHeader handles a complete header block, which has acquired memory, and finds out how
// its body is framed.
func (f *framing) endHeader(block []byte, acquired limiter.Bytes) {
	first, fields, _ := bytes.Cut(block, []byte("\n"))
	var lengths [][]byte
	isChunked := false
	var last *[]byte
	for line := range bytes.SplitSeq(fields, []byte("\n")) {
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			if last != nil {
				*last = append(bytes.Clone(*last), line...)
			}
			continue
		}
		last = nil
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			lengths = append(lengths, value)
			last = &lengths[len(lengths)-1]
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			isChunked = true // net/http refuses all other codings.
		}
	}
	f.requests = append(f.requests, requestNote{isChunked && len(lengths) > 0, acquired})
	if isOld := bytes.HasSuffix(bytes.TrimSpace(first), []byte("HTTP/1.0")); isChunked && !isOld {
		f.state = inChunkSize
		return
	}
	if len(lengths) == 0 {
		return
	}
	n, err := strconv.ParseUint(string(bytes.TrimSpace(lengths[0])), 10, 63)
	if err != nil {
		f.state = isLost
		return
	}
	if n > 0 {
		f.bodyLeft, f.state = n, inBody
	}
}

// isAmbiguous reports whether the request that is being served has two lengths.
func (f *framing) isAmbiguous() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests) == 0 || f.requests[0].hasTwoLengths
}

// hasBegun reports whether a byte of a request was read that isn't being served yet. It
// is called between two requests.
func (f *framing) hasBegun() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests) > 0 || f.state == inHeader && len(f.part) > 0
}

// next ends the request that is being served, once its answer was written.
func (f *framing) next() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.requests) > 0 {
		f.bounds.Quota.Release(f.requests[0].acquired)
		f.requests = f.requests[1:]
	}
}
