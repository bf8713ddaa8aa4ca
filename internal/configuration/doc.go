// Package configuration groups the packages for configuration that operators
// write: the settings file of a process (settings, used by all programs), the
// signed bundle of a plain node (bundle), and the routes, services and tenants
// that an edge or a storage node reads from the platform's store (catalog). It
// contains no code itself.
package configuration
