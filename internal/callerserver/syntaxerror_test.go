package callerserver

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against keys in log lines about requests that can't be parsed.
func TestErrorsOfMalformedRequestsRepeatNoHeader(t *testing.T) {
	const key = "48wusecret"
	authorization := "Authorization: Token " + key
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
	for name, request := range map[string]string{
		"bad value":          "GET / HTTP/1.1\r\nHost: h\r\n" + authorization + "\x01\r\n\r\n",
		"quotes in value":    "GET / HTTP/1.1\r\nHost: h\r\nAuthorization: \"\\" + key + "\"\x01" + key + "\r\n\r\n",
		"no colon":           "GET / HTTP/1.1\r\nHost: h\r\nToken " + key + "\r\n\r\n",
		"first line":         authorization + "\r\n\r\n",
		"version":            "GET / " + key + "\r\n\r\n",
		"later line":         "GET / HTTP/1.1\r\n" + authorization + "\r\nHost : h\r\n\r\n",
		"two lengths":        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n" + authorization + "\r\n\r\n",
		"trailer":            chunked + authorization + "\r\n\r\n",
		"name of a trailer":  chunked + key + "\x01: 1\r\n\r\n",
		"value of a trailer": chunked + "X: " + key + "\x01\r\n\r\n",
	} {
		limits := serverLimits()
		limits.AnyRequest = true
		_, _, err := parse([]byte(request), limits)
		require.Error(t, err, name)
		require.NotContains(t, err.Error(), key, name)
	}
}
