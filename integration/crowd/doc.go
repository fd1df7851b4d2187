// Package crowd holds the tests of programs among callers and endpoints that misbehave:
// crowds of callers that do not keep to the rules of HTTP or to their share of a host,
// and endpoints that requests crash. Each starts the programs as processes of their own.
// With crowds it checks that a program stays within the memory and the open descriptors
// of its machine and still serves an ordinary caller.
package crowd
