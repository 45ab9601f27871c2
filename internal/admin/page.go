package admin

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/strictjson"
)

// keySeparator separates the parts of a key. No name contains it.
const keySeparator = "/"

// window is the part of a list that a request asks for.
type window struct {
	limit int
	after string
}

// window reads the query arguments of a list. The error is a
// *strictjson.InvalidError.
func (c *call) window() (window, error) {
	w := window{limit: adminapi.DefaultPage, after: string(c.ctx.QueryArgs().Peek(adminapi.QueryAfter))}
	text := string(c.ctx.QueryArgs().Peek(adminapi.QueryLimit))
	if text == "" {
		return w, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > adminapi.MaxPage {
		return window{}, strictjson.Invalid(adminapi.QueryLimit, "must be a whole number from 1 to %d", adminapi.MaxPage)
	}
	w.limit = limit
	return w, nil
}

// pageOf returns the items within the window, ordered by key, and the key to go on
// from, which is empty on the last page.
func pageOf[T any](items []T, key func(T) string, w window) ([]T, string) {
	slices.SortFunc(items, func(a, b T) int { return compareKeys(key(a), key(b)) })
	first := 0
	if w.after != "" {
		first, _ = slices.BinarySearchFunc(items, w.after, func(item T, after string) int {
			if compareKeys(key(item), after) <= 0 {
				return -1
			}
			return 1
		})
	}
	return cut(items[first:], key, w.limit)
}

// cut returns the first items, and the key of the last of them if more follow.
func cut[T any](items []T, key func(T) string, limit int) ([]T, string) {
	if len(items) <= limit {
		return append([]T{}, items...), ""
	}
	return append([]T{}, items[:limit]...), key(items[limit-1])
}

// compareKeys compares keys part by part.
func compareKeys(a, b string) int {
	return slices.Compare(strings.Split(a, keySeparator), strings.Split(b, keySeparator))
}

// contentKey returns the key of a number, in its usual form.
func contentKey(content uint64) string { return fmt.Sprintf("%020d", content) }
