package main

import (
	"bytes"
	"strings"
	"testing"
)

const hello = `HELLO instanceId=1 randomSeed=7 profileData={"familyInfo": {"cores": 2, "memoryKb": 9000, ` +
	`"runFactor": 4}, "lanes": [{"goalTimeUs": 2000000, "hardLimitUs": 8000000, "gain": 1}], ` +
	`"obligations": {"fallMultiple": 5, "answerSlackUs": 80000}}` + "\n"

func TestServe_RepliesToBatch(t *testing.T) {
	for name, c := range map[string]struct{ in, want string }{
		"empty batch":     {"CLOCK momentUs=1\nGO\n", "YIELD\n"},
		"unknown message": {"CLOCK momentUs=1\nNEWS of=2\nGO\n", "YIELD\n"},
		"request runs": {
			"CLOCK momentUs=1\n" + hello + "REQ instanceId=1 xid=a heldKb=1 later=1\nGO\n",
			"START instanceId=1 xid=a\nYIELD\n",
		},
		"end of unknown run": {"CLOCK momentUs=1\n" + hello + "WORK_DONE instanceId=1 xid=z outcome=200\nGO\n", "YIELD\n"},
		"invalid settings": {
			"CLOCK momentUs=1\nHELLO instanceId=1 profileData={}\nGO\n",
			"BAIL_OUT instanceId=1 line=",
		},
		"terminated instance": {"CLOCK momentUs=1\n" + hello + "EXIT instanceId=1\nGO\n", "YIELD\n"},
	} {
		var out bytes.Buffer
		if err := serve(strings.NewReader(c.in), &out); err != nil {
			t.Errorf("%s: serve = %v, want nil", name, err)
		} else if !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: reply is %q, want it to contain %q", name, out.String(), c.want)
		}
	}
}

func TestServe_ErrorNamesLine(t *testing.T) {
	for _, in := range []string{
		"CLOCK momentUs=x\n", "GO\n", "CLOCK momentUs=1\nREQ xid=a\nGO\n", "CLOCK momentUs=1\n",
		"CLOCK momentUs=1\nHELLO instanceId=1 profileData={\nGO\n",
		"CLOCK momentUs=1\n" + hello + "REQ instanceId=1 heldKb=1\nGO\n",
	} {
		if err := serve(strings.NewReader(in), &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), "line ") {
			t.Errorf("serve(%q) = %v, want an error that names the line", in, err)
		}
	}
}

// TestServe_InstancesAreIndependent checks that the actions of an instance don't depend on the
// other instances of the process.
func TestServe_InstancesAreIndependent(t *testing.T) {
	actions := func(ids ...string) string {
		var in strings.Builder
		in.WriteString("CLOCK momentUs=1\n")
		for _, id := range ids {
			in.WriteString(strings.Replace(hello, "instanceId=1", "instanceId="+id, 1))
			for _, request := range []string{"a", "b", "c", "d"} {
				in.WriteString("REQ instanceId=" + id + " xid=" + request + id + " heldKb=1\n")
			}
		}
		in.WriteString("GO\n")
		var out bytes.Buffer
		if err := serve(strings.NewReader(in.String()), &out); err != nil {
			t.Fatal(err)
		}
		return strings.TrimSuffix(out.String(), "YIELD\n")
	}
	if got, want := actions("1", "2"), actions("1")+actions("2"); got != want {
		t.Errorf("actions of both instances in one process: %q\nin two processes: %q", got, want)
	}
}
