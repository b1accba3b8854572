// Package metric checks that the metrics tables of the documentation list exactly
// the metrics that the daemons publish.
package metric
