// Package ways compares ways of placing flows on one seeded trace of changes:
// pure hashing, learning with digests of exceptions, and homes with exceptions.
// All of it stands in its test files.
package ways
