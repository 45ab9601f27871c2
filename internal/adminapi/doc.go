// Package adminapi defines the administration API: its paths, headers, messages
// and error codes. The server is in internal/admin, the client in
// internal/adminclient.
//
// Every request carries "Authorization: Bearer TOKEN". Bodies are JSON in UTF-8.
// Every answer with a status of 400 or above is an Error. Lists are paged: a page
// holds up to "limit" items (default DefaultPage, at most MaxPage) that come after
// the item named by "after"; Next is empty on the last page.
package adminapi
