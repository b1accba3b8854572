// Package layout contains the tests of the import rules between packages, which
// docs/LAYOUT.md describes.
package layout
