package logline

import "fmt"

// maxErrorText bounds the text of a logged error in characters.
const maxErrorText = 200

// ErrorText returns the beginning of an error's text, for errors that may quote data of
// any length.
func ErrorText(err error) string { return fmt.Sprintf("%.*s", maxErrorText, err.Error()) }
