package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/poplarwheel/poplarwheel/internal/adminapi"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

// AdminToken is the administrators' token of the administration API.
const AdminToken = "fleet test administrators' token"

func adminTokenSHA256() string {
	sum := sha256.Sum256([]byte(AdminToken))
	return hex.EncodeToString(sum[:])
}

// APIRequest is a request to the administration API.
type APIRequest struct {
	Method string
	Path   string
	// Token is AdminToken or a team's token.
	Token string
	// IfMatch and IfNoneMatch are sent unless empty.
	IfMatch     string
	IfNoneMatch string
	// Body is encoded as JSON unless nil.
	Body any
}

// CallAPI sends a request to the administration API of entry daemon i and decodes the
// answer into value unless nil. It returns the entity tag of the answer. The error of
// a refusal is an *adminapi.Error.
func (f *Fleet) CallAPI(i int, call APIRequest, value any) (etag string, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(call.Method)
	request.SetRequestURI("http://" + f.APIAddress(i) + call.Path)
	request.Header.Set(adminapi.HeaderAuthorization, adminapi.BearerPrefix+call.Token)
	setUnlessEmpty(request, adminapi.HeaderIfMatch, call.IfMatch)
	setUnlessEmpty(request, adminapi.HeaderIfNoneMatch, call.IfNoneMatch)
	if call.Body != nil {
		body, err := json.Marshal(call.Body)
		if err != nil {
			return "", err
		}
		request.SetBody(body)
	}
	if err := fasthttp.DoTimeout(request, response, settleTimeout); err != nil {
		return "", err
	}
	etag = string(response.Header.Peek(adminapi.HeaderETag))
	return etag, decodeAnswer(response, value)
}

func setUnlessEmpty(request *fasthttp.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

func decodeAnswer(response *fasthttp.Response, value any) error {
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		refused := &adminapi.Error{}
		if err := json.Unmarshal(response.Body(), refused); err != nil {
			return err
		}
		return refused
	}
	if value == nil {
		return nil
	}
	return json.Unmarshal(response.Body(), value)
}

// Lift lifts a quarantine at entry daemon i as an administrator.
func (f *Fleet) Lift(i int, content quarantine.Content) (adminapi.LiftReply, error) {
	var reply adminapi.LiftReply
	path := fmt.Sprintf("%s/%d", adminapi.PathQuarantine, content)
	_, err := f.CallAPI(i, APIRequest{Method: fasthttp.MethodDelete, Path: path, Token: AdminToken}, &reply)
	return reply, err
}
