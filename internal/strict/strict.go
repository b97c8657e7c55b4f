// Package strict decodes the YAML files of operators: unknown and duplicate
// fields are refused, and all problems of a file are reported at once.
package strict

import "github.com/baobabdyke/baobabdyke/config"

// Decode reads a YAML document into the struct that into points to. The error
// is a *config.Problems.
func Decode(file string, data []byte, into any) error {
	_, err := config.DecodeYAML(file, data, into)
	return err
}

// DecodeLines is Decode, and returns the line of every field for later checks.
func DecodeLines(file string, data []byte, into any) (config.Lines, error) {
	return config.DecodeYAML(file, data, into)
}
