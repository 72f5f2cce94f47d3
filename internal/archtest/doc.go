// Package archtest contains the tests that enforce the import rules between the module's packages. It has no code of its own.
package archtest
