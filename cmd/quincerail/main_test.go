package main_test

import (
	"os"
	"testing"

	"quincerail.example/quincerail/internal/fleettest"
)

// binary is the path of the program that TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(fleettest.Main(m, &binary)) }
