package cli

import (
	"fmt"
	"io"

	"github.com/integrii/flaggy"

	"github.com/poplarwheel/poplarwheel/internal/questionnaire"
)

// questionnaireCommand prints, asks or checks the questionnaire.
type questionnaireCommand struct {
	template bool
	check    string
	json     bool
}

// checkReply is the output of a check.
type checkReply struct {
	Valid bool `json:"valid"`
	// Services is the number of services that the input describes.
	Services int `json:"services"`
}

func (c *questionnaireCommand) subcommand() *flaggy.Subcommand {
	sub := flaggy.NewSubcommand("questionnaire")
	sub.Description = "print, ask or check the questionnaire"
	sub.AdditionalHelpAppend = "\nWithout flags it asks on the terminal and prints the answers.\n" + examples(
		"questionnaire > answers.json",
		"questionnaire --template > answers.json",
		"questionnaire --check answers.json",
		"questionnaire --check - --json < answers.json",
	)
	sub.Bool(&c.template, "", "template", "print an answers file with every question explained")
	sub.String(&c.check, "c", "check", "answers file to check, - for standard input")
	sub.Bool(&c.json, "", "json", "print the result of a check as JSON")
	return sub
}

func (c *questionnaireCommand) run(streams Streams) error {
	switch {
	case c.template:
		_, err := io.WriteString(streams.Out, questionnaire.Template())
		return err
	case c.check != "":
		return c.runCheck(streams)
	}
	answers, err := questionnaire.Ask(streams.In, streams.Err)
	if err != nil {
		return err
	}
	if _, err := questionnaire.Propose(answers); err != nil {
		return err
	}
	return writeJSON(streams, answers)
}

func (c *questionnaireCommand) runCheck(streams Streams) error {
	answers, err := readAnswers(streams, c.check)
	if err != nil {
		return err
	}
	if _, err := questionnaire.Propose(answers); err != nil {
		return &InputError{Path: c.check, Cause: err}
	}
	if c.json {
		return writeJSON(streams, checkReply{Valid: true, Services: len(answers.Services)})
	}
	_, err = fmt.Fprintf(streams.Out, "answers are valid: %d services\n", len(answers.Services))
	return err
}

// readAnswers reads an answers file. The error is an *InputError.
func readAnswers(streams Streams, path string) (*questionnaire.Answers, error) {
	data, err := readInput(streams, path)
	if err != nil {
		return nil, err
	}
	answers, err := questionnaire.Parse(data)
	if err != nil {
		return nil, &InputError{Path: path, Cause: err}
	}
	return answers, nil
}
