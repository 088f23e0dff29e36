// Package simwire is the codec of the line protocol between the simulator and a host of
// decision module instances (command simhost). It decodes the simulator's events and
// encodes the instances' actions. It only translates: names.go maps each name of the wire
// to the term that the code uses for it.
package simwire
