// Package crowd holds the tests with crowds of callers that do not keep to the
// rules of HTTP or to their share of a host: each starts a program as a process of
// its own, and checks that it stays within the memory and the open descriptors of
// its machine and still serves an ordinary caller.
package crowd
