// Package layout checks which package may import which. All of it stands in its
// test file; docs/LAYOUT.md says the rules.
package layout
