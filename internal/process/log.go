package process

import (
	"io"
	"runtime/debug"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"kingcupcourse/internal/message"
	"kingcupcourse/internal/settings"
)

// newLogger returns the log of a process, which has a line for each decision and
// so is not sampled. Each line names the host and role.
func newLogger(common settings.Common, role message.Role, out io.Writer) *zap.Logger {
	log, _ := newLoggerTo(common.Log, zapcore.Lock(zapcore.AddSync(out)))
	return log.With(zap.String("host", common.Host), zap.String("role", string(role)))
}

// Version returns the module version and commit that the program was built
// from.
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
