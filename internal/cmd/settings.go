package cmd

import (
	"fmt"

	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// checkSettings validates a settings file and returns a summary of its content, or
// an error with all its problems.
func checkSettings(file string, data []byte) (string, error) {
	s, err := settings.Decode(file, data)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("settings of VM %s in data centre %s", s.VM, s.DataCentre), nil
}
