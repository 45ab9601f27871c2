package cli

import (
	"net/netip"
	"os"
	"os/user"
	"regexp"
	"strings"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/adminclient"
)

// tokenVariable is the environment variable that holds the token unless --token-file
// is given.
const tokenVariable = "POPLARWHEEL_TOKEN"

var (
	// tokenForm is what a token may consist of.
	tokenForm = regexp.MustCompile(`^[!-~]+$`)
	// operatorForm is what an operator's name may consist of.
	operatorForm = regexp.MustCompile(`^[ -~]*$`)
)

// apiFlags are the flags of a command that uses the administration API.
type apiFlags struct {
	addresses string
	tokenFile string
	by        string
}

func (f *apiFlags) attach(sub *flaggy.Subcommand) {
	sub.String(&f.addresses, "", "api", "ip:port of the administration API; further ones, separated by commas, are used when one takes no connection")
	sub.String(&f.tokenFile, "", "token-file", "file that holds the token, - for standard input (default: the environment's "+tokenVariable+")")
}

// attachBy adds the flag that names the operator of a change.
func (f *apiFlags) attachBy(sub *flaggy.Subcommand) {
	sub.String(&f.by, "", "by", "operator's name (default: the user's)")
}

// operator returns the operator's name.
func (f *apiFlags) operator() string {
	if f.by != "" {
		return f.by
	}
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}

// connect returns a client of the API. Input is the file that the command reads
// besides the token, or "".
func (f *apiFlags) connect(streams Streams, input string) (*adminclient.Client, error) {
	if err := requireFlags(requirement{"api", f.addresses}); err != nil {
		return nil, err
	}
	addresses := strings.Split(f.addresses, ",")
	for _, address := range addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, &BadFlagError{Flag: "api", Want: "ip:port, or several separated by commas"}
		}
	}
	if !operatorForm.MatchString(f.operator()) {
		return nil, &BadFlagError{Flag: "by", Want: "printable ASCII"}
	}
	token, err := f.token(streams, input)
	if err != nil {
		return nil, err
	}
	return adminclient.New(adminclient.Options{Addresses: addresses, Token: token, Operator: f.operator()}), nil
}

func (f *apiFlags) token(streams Streams, input string) (string, error) {
	if f.tokenFile == "-" && input == "-" {
		return "", &BadFlagError{Flag: "token-file", Want: "a file, since standard input is read for another flag"}
	}
	token := os.Getenv(tokenVariable)
	if f.tokenFile != "" {
		data, err := readInput(streams, f.tokenFile)
		if err != nil {
			return "", err
		}
		token = string(data)
	}
	token = strings.TrimSpace(token)
	if token == "" {
		return "", &MissingTokenError{}
	}
	if !tokenForm.MatchString(token) {
		return "", &BadTokenError{}
	}
	return token, nil
}

// sourceFlags choose between the administration API and the platform itself. The
// platform is for the first acceptance and for an outage of all entry daemons.
type sourceFlags struct {
	api      apiFlags
	platform string
}

func (f *sourceFlags) attach(sub *flaggy.Subcommand) {
	f.api.attach(sub)
	sub.String(&f.platform, "p", "platform", "ip:port of the platform, without the API: for the first configuration and when no entry daemon runs")
}

// check requires exactly one of the sources.
func (f *sourceFlags) check() error {
	if (f.api.addresses == "") == (f.platform == "") {
		return &ExclusiveFlagsError{Flags: []string{"api", "platform"}, Required: true}
	}
	return nil
}

func (f *sourceFlags) usesPlatform() bool { return f.platform != "" }
