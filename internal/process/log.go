package process

import (
	"io"
	"runtime/debug"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kingcupcourse/internal/message"
	"kingcupcourse/internal/settings"
)

// newLogger returns the logger of a process. It is not sampled, because every
// decision must be logged. Each line has the host and role.
func newLogger(common settings.Common, role message.Role, out io.Writer) *zap.Logger {
	logger, _ := newLoggerTo(common.Log, zapcore.Lock(zapcore.AddSync(out)))
	return logger.With(zap.String("host", common.Host), zap.String("role", string(role)))
}

// Version returns the module version and commit that the program was built
// from, and the Go version.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return version + " " + info.GoVersion
}
