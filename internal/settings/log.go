package settings

import (
	"io"
	"time"

	"github.com/rs/zerolog"

	"lovagescale/internal/tomlfile"
)

// CheckLogLevel adds a problem unless level is empty or a level of zerolog.
func CheckLogLevel(document *tomlfile.Document, level string) {
	if _, err := zerolog.ParseLevel(level); err != nil {
		document.Addf([]string{"log_level"}, "%q is not a log level (example: \"info\")", level)
	}
}

// NewLogger returns a logger that writes JSON lines to out. An empty or unknown
// level selects "info".
func NewLogger(out io.Writer, level, program string) zerolog.Logger {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil || level == "" {
		parsed = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(out).Level(parsed).With().Timestamp().Str("program", program).Logger()
}
