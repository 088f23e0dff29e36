package main_test

import (
	"os"
	"testing"

	"quincerail.example/quincerail/internal/fleettest"
)

var binary string

func TestMain(m *testing.M) { os.Exit(fleettest.Main(m, &binary)) }
