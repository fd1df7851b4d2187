// Package skipped has tests that are skipped.
package skipped
