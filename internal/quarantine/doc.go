// Package quarantine keeps requests away from runners that such requests crash.
package quarantine
