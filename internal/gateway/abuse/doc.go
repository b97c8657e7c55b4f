// Package abuse holds tests of the program under callers outside its limits. They run the
// program as a process of its own against the stand-ins of package fake, and check only
// that it lives, what it takes of memory and descriptors, and that it still serves.
package abuse
