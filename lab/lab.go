// Package lab holds everything that is not the product; see docs/LAB.md.
package lab
