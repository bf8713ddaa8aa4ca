// Package lab contains the test environment of the product: emulators of the systems that
// the product depends on, load generators, experiments and the soak test. The product
// does not import it (TestProductDoesNotImportTheLab). docs/LAB.md describes its
// packages.
package lab
