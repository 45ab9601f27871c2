package callerserver

import (
	"github.com/sirupsen/logrus"
)

// gnetLogger logs gnet's messages at a lower level than gnet gives them.
type gnetLogger struct{ log logrus.FieldLogger }

func (l gnetLogger) Debugf(format string, args ...any) { l.log.Debugf(format, args...) }

func (l gnetLogger) Infof(format string, args ...any) { l.log.Debugf(format, args...) }

func (l gnetLogger) Warnf(format string, args ...any) { l.log.Debugf(format, args...) }

func (l gnetLogger) Errorf(format string, args ...any) { l.log.Warnf(format, args...) }

func (l gnetLogger) Fatalf(format string, args ...any) { l.log.Errorf(format, args...) }
