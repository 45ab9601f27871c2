package gatewayd

import (
	"encoding/json"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/poplarwheel/poplarwheel/internal/feed"
	"github.com/poplarwheel/poplarwheel/internal/heartbeat"
	"github.com/poplarwheel/poplarwheel/internal/netdial"
	"github.com/poplarwheel/poplarwheel/internal/quarantine"
)

// Kinds of the store objects that daemons write. Daemons of other versions read them too.
const (
	KindEntryVMs   = "poplarwheel-entries"
	KindQuarantine = "poplarwheel-quarantine"
)

// ObjectStore stores objects by their kind and name. It is safe for concurrent use.
type ObjectStore interface {
	// Put creates an object, or replaces the spec of the existing one.
	Put(kind, name string, spec any) error
	// Delete removes an object, which need not exist.
	Delete(kind, name string) error
	// List returns all objects of a kind. Stale reads cost less, but may lag behind by seconds.
	List(kind string, stale bool) (objects []feed.Object, at feed.Position, err error)
}

// EntryVMDocument is the spec of the store object by which a daemon registers its entry
// VM.
type EntryVMDocument struct {
	Zone   string           `json:"zone"`
	Member heartbeat.Member `json:"member"`
}

// storeRegistration adds the daemon to the list from which the other daemons learn of it.
func (d *Daemon) storeRegistration(member heartbeat.Member) error {
	return d.platform.Objects().Put(KindEntryVMs, d.settings.Name, EntryVMDocument{Zone: d.settings.Zone, Member: member})
}

// deleteRegistration removes the daemon from the list of registered daemons.
func (d *Daemon) deleteRegistration() error {
	return d.platform.Objects().Delete(KindEntryVMs, d.settings.Name)
}

// registeredDaemons returns the registered daemons of all zones. A stale list costs less,
// but may be some seconds old.
func (d *Daemon) registeredDaemons(stale bool) ([]heartbeat.Member, error) {
	objects, _, err := d.platform.Objects().List(KindEntryVMs, stale)
	return decodeEntryVMs(objects, d.log), err
}

// decodeEntryVMs returns the daemons of the registered entry VMs. Objects that can't be
// decoded, or whose daemon can't be reached by its addresses, are left out.
func decodeEntryVMs(objects []feed.Object, log logrus.FieldLogger) []heartbeat.Member {
	var members []heartbeat.Member
	for _, object := range objects {
		document, err := decodeEntryVM(object)
		if err != nil {
			log.WithError(err).WithField("object", object.Name).Warn("registered daemon can't be used; skipping it")
			continue
		}
		document.Member.Zone = document.Zone
		members = append(members, document.Member)
	}
	return members
}

// errEntryVMAddress reports a registered daemon without addresses to reach it.
var errEntryVMAddress = Error.New("an address of the daemon is not that of a single host")

// decodeEntryVM decodes the store object of an entry VM.
func decodeEntryVM(object feed.Object) (*EntryVMDocument, error) {
	document := &EntryVMDocument{}
	if err := json.Unmarshal(object.Spec, document); err != nil {
		return nil, Error.Wrap(err)
	}
	if !netdial.IsHostPort(document.Member.CallerAddress) || !netdial.IsHostPort(document.Member.PeerAddress) {
		return nil, errEntryVMAddress
	}
	return document, nil
}

// storeQuarantined stores content that crashes targets, so that its quarantine survives a
// restart of all daemons.
func (d *Daemon) storeQuarantined(suspect quarantine.Suspect) error {
	return d.platform.Objects().Put(KindQuarantine, objectName(suspect.Content), suspect)
}

// deleteQuarantined deletes stored content.
func (d *Daemon) deleteQuarantined(content quarantine.Content) error {
	return d.platform.Objects().Delete(KindQuarantine, objectName(content))
}

// objectName returns the name of the KindQuarantine object of a content.
func objectName(content quarantine.Content) string { return strconv.FormatUint(uint64(content), 16) }

// listQuarantined returns all stored content. Objects that can't be decoded are left out.
func (d *Daemon) listQuarantined() ([]quarantine.Suspect, error) {
	objects, _, err := d.platform.Objects().List(KindQuarantine, true)
	var suspects []quarantine.Suspect
	for _, object := range objects {
		var suspect quarantine.Suspect
		if err := json.Unmarshal(object.Spec, &suspect); err != nil {
			d.log.WithError(err).WithField("object", object.Name).Warn("quarantine object can't be decoded; skipping it")
			continue
		}
		suspects = append(suspects, suspect)
	}
	return suspects, err
}
