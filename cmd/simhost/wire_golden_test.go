package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"quincerail.example/quincerail/internal/golden"
)

// fullHello starts an instance whose profile has nearly all fields.
const fullHello = `HELLO instanceId=1 randomSeed=7 profileData={"servers": 10, "quantumUs": 2000, "familyInfo": {` +
	`"cores": 4, "senders": 3, "memoryKb": 9000, "keyKb": 1, "runFactor": 4, "dependsOn": "common", "stopMode": "pause", ` +
	`"say": "bias", "callsOut": 10, "callsOverUs": 5000000, "staysForUs": 200000, "heededUs": 1000000, "idleUs": 20000000, ` +
	`"callsByClass": [true, false], "degradedWorth": [0.5]}, "caps": {"retryAfter": true, "maxRetryAfterUs": 1000000}, ` +
	`"lanes": [{"goalTimeUs": 2000000, "hardLimitUs": 8000000, "gain": 1}, ` +
	`{"goalTimeUs": 2000000, "hardLimitUs": 8000000, "gain": 2, "semantics": "guarded", "windowUs": 9000000}], ` +
	`"obligations": {"fallMultiple": 5, "overloadForUs": 2000000, "answerSlackUs": 80000, "drainGraceUs": 100000}}` + "\n"

// session contains every kind of event, and makes an instance reply with nearly every kind of
// action.
var session = "CLOCK momentUs=1\n" + fullHello + "GO\n" +
	"CLOCK momentUs=1000\n" +
	"REQ instanceId=1 xid=a qos=0 heldKb=3 from=1\n" +
	"REQ instanceId=1 xid=b qos=1 heldKb=3 from=2\n" +
	"REQ instanceId=1 xid=c qos=1 heldKb=3 from=2 earlier=b\n" +
	"REQ instanceId=1 xid=e qos=1 heldKb=3 from=1 waitedUs=500\n" +
	"GO\n" +
	"CLOCK momentUs=1500\nREQ instanceId=1 xid=d qos=0 heldKb=99999 from=2\nGO\n" +
	"CLOCK momentUs=2000\nNEEDS_DEP instanceId=1 xid=a\nRING instanceId=1 cookie=0 stats=core_use:0.5,on_cores:2,new:1\nGO\n" +
	"CLOCK momentUs=9000\nCAME_BACK instanceId=1 xid=a outcome=408 timeTakenUs=7000\nGO\n" +
	"CLOCK momentUs=19000\nCAME_BACK instanceId=1 xid=a outcome=429 timeTakenUs=10000\nGO\n" +
	"CLOCK momentUs=29000\nWORK_DONE instanceId=1 xid=b outcome=200 timeTakenUs=25000\nCLIENT_GONE instanceId=1 xid=c\nGO\n" +
	"CLOCK momentUs=39000\nLEAVING instanceId=1 notAfterUs=4039000\nGO\n" +
	"CLOCK momentUs=239000\nREQ instanceId=1 xid=f qos=0 heldKb=3\nRING instanceId=1 stats=core_use:1,on_cores:9\nGO\n" +
	"CLOCK momentUs=4239000\nGO\n" +
	strings.Repeat("CLOCK momentUs=4240000\nREQ instanceId=1 xid=g qos=1 waitedUs=9000000\nRING instanceId=1\nGO\n", 30) +
	"CLOCK momentUs=4250000\n" + fullHello + "GO\n" +
	strings.Repeat("CLOCK momentUs=4260000\nREQ instanceId=1 xid=h qos=0 waitedUs=9000000\nRING instanceId=1\nGO\n", 30) +
	"CLOCK momentUs=9000000\n" + strings.Repeat("RING instanceId=1\n", 3) + "GO\n"

// TestServe_SessionIsUnchanged pins the exact bytes of the replies to a session.
func TestServe_SessionIsUnchanged(t *testing.T) {
	var out bytes.Buffer
	if err := serve(strings.NewReader(session), &out); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "session.txt", out.Bytes())
}

// malformedInputs returns inputs that are malformed or incomplete, mostly in one place each,
// and some that are unusual but valid.
func malformedInputs() []string {
	inBatch := "CLOCK momentUs=1\n" + hello
	inputs := []string{
		" CLOCK\n", "momentUs=1\n", "CLOCK momentUs\n", "CLOCK =1\n", "CLOCK\n", "CLOCK momentUs=x\n", "CLOCK momentUs=1.5\n",
		"CLOCK momentUs=99999999999999999999\n", "CLOCK momentUs=1\nCLOCK momentUs=2\n", "GO\n", "CLOCK momentUs=1\n", "CLOCK momentUs=1",
		"EXIT instanceId=1\n", "REQ instanceId=1 xid=a\n", "\n\r\n", "CLOCK momentUs=1\r\nGO\r\n", "NEWS\n", "NEWS of\n",
		"CLOCK momentUs=1\nGO extra=1", "CLOCK momentUs=1\nEXIT\nGO\n", "CLOCK momentUs=1\nHELLO randomSeed=1\nGO\n",
		"CLOCK momentUs=1\nREQ instanceId=x xid=a\nGO\n", "CLOCK momentUs=1\nREQ instanceId=5\nGO\n",
		"CLOCK momentUs=1\nGO " + strings.Repeat("y", 200) + "\n",
	}
	for _, profile := range []string{
		"", "{", "{}", "[]", `{"lanes": 1}`, `{"lanes": [{"goalTimeUs": "soon"}]}`, `{"familyInfo": {"cores": 1.5}}`,
		`{"familyInfo": {"dependsOn": "moon"}}`, `{"familyInfo": {"stopMode": "sideways"}}`, `{"familyInfo": {"say": "much"}}`,
		`{"lanes": [{"semantics": "odd"}]}`, `{"familyInfo": {"dependsOn": "moon", "stopMode": "sideways"}}`,
		`{"lanes": [{"goalTimeUs": 1, "hardLimitUs": 1}], "familyInfo": {"cores": 1, "memoryKb": -1}}`,
		`{"lanes": [{"goalTimeUs": 0, "hardLimitUs": 1}], "familyInfo": {"cores": 1}}`,
	} {
		inputs = append(inputs, "CLOCK momentUs=1\nHELLO instanceId=1 randomSeed=2 profileData="+profile+"\nGO\n")
	}
	for _, line := range []string{
		"HELLO instanceId=1 randomSeed=x profileData={", "REQ instanceId=1", "REQ instanceId=1 xid=", "REQ instanceId=1 xid=a qos=x",
		"REQ instanceId=1 xid=a qos=99", "REQ instanceId=1 xid=a qos=-1", "REQ instanceId=1 xid=a heldKb=y", "REQ instanceId=1 xid=a place=-",
		"REQ instanceId=1 xid=a retry=2", "REQ instanceId=1 xid=a isWrite=yes", "REQ instanceId=1 xid=a notAfterUs=late costUs=dear",
		"REQ instanceId=1 xid=a  qos=0", "REQ instanceId=1 xid=a billing=77", "REQ instanceId=1 xid=a from=",
		"WORK_DONE instanceId=1 xid=a", "WORK_DONE instanceId=1 xid=a outcome=", "WORK_DONE instanceId=1 xid=a outcome=201",
		"WORK_DONE instanceId=1 outcome=200", "WORK_DONE instanceId=1 xid=a outcome=200 timeTakenUs=long", "CLIENT_GONE instanceId=1",
		"NEEDS_DEP instanceId=1", "CAME_BACK instanceId=1 xid=a outcome=999", "LEAVING instanceId=1 notAfterUs=soon",
		"RING instanceId=1 cookie=x", "RING instanceId=1 stats=core_use", "RING instanceId=1 stats=core_use:", "RING instanceId=1 stats=:1",
		"RING instanceId=1 stats=core_use:1,", "RING instanceId=1 stats=,core_use:1", "RING instanceId=1 stats=other:x",
		"RING instanceId=9 stats=core_use", "RING instanceId=1 line=a b c", "CLOCK momentUs=2",
	} {
		inputs = append(inputs, inBatch+line+"\nGO\n")
	}
	return inputs
}

// TestServe_MalformedInputIsUnchanged pins the reply that is written before the error, and the
// error, for each malformed input.
func TestServe_MalformedInputIsUnchanged(t *testing.T) {
	var text strings.Builder
	for _, input := range malformedInputs() {
		var out bytes.Buffer
		err := serve(strings.NewReader(input), &out)
		fmt.Fprintf(&text, "%.300q\n  reply %q\n  error %v\n", input, out.String(), err)
	}
	golden.Equal(t, "malformed.txt", []byte(text.String()))
}
