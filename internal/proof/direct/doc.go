// Package direct proves the directory under failure: control hosts are played
// on one simulated clock with disks and a network that lose what they may.
package direct
