// Package metric checks the tables of metrics in the docs against the program.
package metric
