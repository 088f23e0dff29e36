package main

import (
	"errors"
	"fmt"
	"os"

	"quincerail.example/quincerail/config"
	"quincerail.example/quincerail/config/operator"
	"quincerail.example/quincerail/match"
)

// checkCmd checks the files that serve would load, and prints every problem, one a line.
type checkCmd struct {
	files
}

// Run implements the sub-command.
func (c *checkCmd) Run() error {
	problems := c.problems()
	for _, problem := range problems {
		fmt.Println(problem)
	}
	if len(problems) > 0 {
		return fmt.Errorf("%w: %d", errFound, len(problems))
	}
	fmt.Println("ok")
	return nil
}

// problems returns the problems of the operator's file, of the configuration, and of the
// files that the operator's file names, as far as the first two can be read.
func (c *checkCmd) problems() []string {
	operatorFile, err := c.operator()
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

// operatorProblems returns the problems in the error of operator.Load.
func operatorProblems(err error) []string {
	var operatorError *operator.Error
	if errors.As(err, &operatorError) {
		return prefixed(operatorError.File, operatorError.Problems)
	}
	return errorText(err)
}

// uwsgiProblems returns the problem of the uwsgi front's file, if there is a file and a
// problem.
func uwsgiProblems(operatorFile *operator.File, classes []string) []string {
	if operatorFile.UWSGI == "" {
		return nil
	}
	uwsgiFile, err := config.LoadUWSGI(operatorFile.UWSGI, classes)
	if err == nil {
		err = checkListeners(operatorFile, uwsgiFile)
	}
	return errorText(err)
}

// rulesProblems returns the problems of the file of rules, if there is one, and prints its
// warnings.
func rulesProblems(path string, classes []string) []string {
	if path == "" {
		return nil
	}
	rules, err := match.Load(path, classes)
	var loadError *match.LoadError
	if errors.As(err, &loadError) {
		return prefixed(path, loadError.Problems)
	}
	if err != nil {
		return errorText(err)
	}
	for _, warning := range rules.Warnings() {
		fmt.Printf("%s: warning: %s\n", path, warning)
	}
	return nil
}

// prefixed returns the problems of a file, each with the file's path before it.
func prefixed[T any](path string, problems []T) []string {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = fmt.Sprintf("%s: %v", path, problem)
	}
	return lines
}

// errorText returns an error's text as a list of one problem, nil for no error.
func errorText(err error) []string {
	if err == nil {
		return nil
	}
	return []string{err.Error()}
}
