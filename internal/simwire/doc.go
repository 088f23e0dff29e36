// Package simwire reads and writes the lines by which a host process passes events of the
// simulator to instances of the decision module, and their actions back. It only
// translates: names.go has each word of the wire once, with the term that the code uses
// for it.
package simwire
