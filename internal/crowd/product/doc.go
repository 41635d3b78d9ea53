// Package product holds the tests of lovage-entry and lovage-lookup with callers that do not
// behave, see package crowd. They run apart from other tests.
package product
