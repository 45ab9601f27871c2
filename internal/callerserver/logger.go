package callerserver

import (
	"github.com/sirupsen/logrus"
)

// quietLogger passes gnet's own messages on at a lower level.
type quietLogger struct{ log logrus.FieldLogger }

func (l quietLogger) Debugf(format string, args ...any) { l.log.Debugf(format, args...) }

func (l quietLogger) Infof(format string, args ...any) { l.log.Debugf(format, args...) }

func (l quietLogger) Warnf(format string, args ...any) { l.log.Debugf(format, args...) }

func (l quietLogger) Errorf(format string, args ...any) { l.log.Warnf(format, args...) }

func (l quietLogger) Fatalf(format string, args ...any) { l.log.Errorf(format, args...) }
