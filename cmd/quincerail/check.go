package main

import (
	"errors"
	"fmt"
	"os"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/config/operator"
	"quincerail.example/quincerail/match"
)

// checkCmd validates the files that serve would load, and prints one line for each problem.
type checkCmd struct {
	fileFlags
}

// Run prints the problems, and returns an error that wraps errProblemsFound if there are any.
func (c *checkCmd) Run() error {
	problems := c.problems()
	for _, problem := range problems {
		fmt.Println(problem)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%w: %d", errProblemsFound, len(problems))
	}
	fmt.Println("ok")
	return nil
}

// problems returns the problems in the operator's file, in the configuration, and in the
// files that the operator's file names. It checks the named files only if the operator's
// file and the configuration could be loaded.
func (c *checkCmd) problems() []string {
	operatorFile, err := c.loadOperatorFile()
	problems := operatorProblems(err)
	configuration, err := config.Load(os.Getenv(config.EnvFile))
	if err != nil {
		problems = append(problems, err.Error())
	}
	if configuration == nil || operatorFile == nil {
		return problems
	}
	_, err = operatorFile.FleetConfig(configuration.Name, configuration.DependencyAddress, configuration.Logger)
	if err != nil {
		problems = append(problems, err.Error())
	}
	problems = append(problems, uwsgiProblems(operatorFile, configuration.Classes)...)
	return append(problems, rulesProblems(operatorFile.Rules, configuration.Classes)...)
}

// operatorProblems returns the problems that an error of operator.Load reports, nil for a
// nil error.
func operatorProblems(err error) []string {
	var operatorError *operator.Error
	if errors.As(err, &operatorError) {
		return prefixEach(operatorError.File, operatorError.Problems)
	}
	return errorProblems(err)
}

// uwsgiProblems returns the first problem in the uwsgi frontend's file, nil if the file is
// valid or if the operator's file names none.
func uwsgiProblems(operatorFile *operator.File, classes []string) []string {
	if operatorFile.UWSGI == "" {
		return nil
	}
	uwsgiFile, err := config.LoadUWSGI(operatorFile.UWSGI, classes)
	if err == nil {
		err = checkListeners(operatorFile, uwsgiFile)
	}
	return errorProblems(err)
}

// rulesProblems returns the problems in the rules file, and prints its warnings. An empty
// path means that there is no rules file.
func rulesProblems(path string, classes []string) []string {
	if path == "" {
		return nil
	}
	rules, err := match.Load(path, classes)
	var loadError *match.LoadError
	if errors.As(err, &loadError) {
		return prefixEach(path, loadError.Problems)
	}
	if err != nil {
		return errorProblems(err)
	}
	for _, warning := range rules.Warnings() {
		fmt.Printf("%s: warning: %s\n", path, warning)
	}
	return nil
}

// prefixEach formats each problem as a line that starts with the path of its file.
func prefixEach[T any](path string, problems []T) []string {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = fmt.Sprintf("%s: %v", path, problem)
	}
	return lines
}

// errorProblems returns the text of an error as the only problem, nil for a nil error.
func errorProblems(err error) []string {
	if err == nil {
		return nil
	}
	return []string{err.Error()}
}
