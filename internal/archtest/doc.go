// Package archtest holds the tests of which package may import which. It has no code of its own.
package archtest
