package targetclient

import (
	"sync/atomic"

	"github.com/poplarwheel/poplarwheel/internal/bytebudget"
)

// smallResponseBytes is the size up to which a response may be buffered also while the limit of
// the memory is reached, so that small responses still arrive beside large ones.
const smallResponseBytes = 16 << 10

// responseMemory counts the bytes of incomplete responses on all connections of a client. It is
// safe for concurrent use.
type responseMemory struct {
	// limit is the maximum of held, except for small responses. 0 means no limit.
	limit int64
	held  atomic.Int64
	// budget is that of the process, or nil. It counts the same bytes.
	budget *bytebudget.Budget
}

// reserve counts added bytes of a buffer that grows to the given size. It returns false if the
// limit doesn't allow it.
func (m *responseMemory) reserve(size int, added int64) bool {
	held := m.held.Add(added)
	full := m.limit > 0 && held > m.limit || m.budget.Exhausted()
	if full && size > smallResponseBytes {
		m.held.Add(-added)
		return false
	}
	m.budget.Add(bytebudget.Responses, added)
	return true
}

// release counts bytes that are no longer held.
func (m *responseMemory) release(size int64) {
	m.held.Add(-size)
	m.budget.Add(bytebudget.Responses, -size)
}
