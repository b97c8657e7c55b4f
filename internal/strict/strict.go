// Package strict decodes YAML files written by operators. It rejects unknown and
// duplicate fields and reports all problems of a file at once.
package strict

import "github.com/baobabdyke/baobabdyke/config"

// Decode decodes a YAML document into the struct that into points to. The error is
// a *config.Problems.
func Decode(file string, data []byte, into any) error {
	_, err := config.DecodeYAML(file, data, into)
	return err
}

// DecodeLines works like Decode and also returns the line number of each field.
func DecodeLines(file string, data []byte, into any) (config.Lines, error) {
	return config.DecodeYAML(file, data, into)
}
