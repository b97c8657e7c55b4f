// Package order brings engines to the models, adapters, versions and roles that
// the configuration wants, under a lease for each group of targets.
package order
