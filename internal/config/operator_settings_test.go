package config

import "testing"

func TestOperatorSettings(t *testing.T) {
	operator, err := LoadOperator(writeFile(t, "operator.ini", "[placement]\nidle_return_s = 90\npreempt = false\n"), nil)
	if err != nil || operator.IdleReturnS != 90 || operator.Preempt || operator.SpareMachines != DefaultOperator().SpareMachines {
		t.Errorf("got %+v, %v", operator, err)
	}
	for _, bad := range []string{"[placement]\nidle = 3\n", "[other]\nx = 1\n", "[placement]\nidle_return_s = soon\n", "[placement]\nspare_machines = -1\n"} {
		if operator, err := LoadOperator(writeFile(t, "operator.ini", bad), nil); err == nil {
			t.Errorf("%q was accepted as %+v", bad, operator)
		}
	}
}
