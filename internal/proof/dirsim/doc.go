// Package dirsim contains fault tests of the directory: control hosts run in a
// simulation with one clock, and with disks and a network that lose data.
package dirsim
