// Package flood has only tests: the goals for overload that many entry hosts see, in the
// simulation of package simnet.
package flood
