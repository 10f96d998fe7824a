package main

import (
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayclient"
)

const (
	usageJob       = `Submits, shows and cancels jobs of one workspace.`
	usageJobSubmit = `Submits a job. With --wait it prints the answers of all members. A refusal exits with 4 when the job did not run, 5 when its outcome is unknown and 6 when it ran without an answer.`
	usageJobStatus = `Prints a job's status.`
	usageJobList   = `Lists the workspace's jobs.`
	usageJobCancel = `Cancels a job and prints its status.`
)

type jobCommand struct{}

type jobSubmitCommand struct {
	callerConnection
	Kind           string        `long:"kind" required:"yes" description:"kind of job"`
	Class          string        `long:"class" default:"standard" description:"urgent, standard or deferrable"`
	Members        int           `long:"members" default:"1" description:"members of the gang"`
	Accelerators   int           `long:"accelerators" default:"0" description:"accelerators of each member; 0 takes a runner's slot"`
	Near           string        `long:"near" default:"anywhere" description:"anywhere, data_centre, rack or worker"`
	Payload        string        `long:"payload" description:"input of each member"`
	Runtime        time.Duration `long:"runtime" description:"declared run time"`
	Deadline       time.Duration `long:"deadline" description:"time within which the answer is needed"`
	IdempotencyKey string        `long:"idempotency-key" description:"key of this request; auto makes one"`
	NonIdempotent  bool          `long:"non-idempotent" description:"run at most once; needs a key"`
	Checkpointing  bool          `long:"checkpointing" description:"the job resumes from checkpoints"`
	Wait           bool          `long:"wait" description:"wait for the answer"`
	Durable        bool          `long:"durable" description:"accept only into the log"`
}

type jobArgument struct {
	callerConnection
	Args struct {
		Job string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

type jobStatusCommand struct {
	jobArgument
	WaitFor time.Duration `long:"wait" description:"time to wait for the job's end"`
}

type jobCancelCommand struct{ jobArgument }

type jobListCommand struct {
	callerConnection
	After string `long:"after" description:"list jobs after this one"`
	Limit int    `long:"limit" default:"100" description:"jobs at the most"`
}

func addJob(p *flags.Parser) {
	c := addCommand(p, "job", "submit, show and cancel jobs", usageJob, &jobCommand{})
	addCommand(c, "submit", "submit a job", usageJobSubmit, &jobSubmitCommand{})
	addCommand(c, "status", "print a job's status", usageJobStatus, &jobStatusCommand{})
	addCommand(c, "list", "list jobs", usageJobList, &jobListCommand{})
	addCommand(c, "cancel", "cancel a job", usageJobCancel, &jobCancelCommand{})
}

// Execute implements flags.Commander.
func (c *jobSubmitCommand) Execute([]string) error {
	client, ctx, done := c.open()
	defer done()
	key := c.IdempotencyKey
	if key == "auto" {
		key = jayclient.NewKey()
	}
	j, err := client.Submit(ctx, jayapi.Submission{
		Kind:           c.Kind,
		Class:          c.Class,
		Members:        c.Members,
		Accelerators:   c.Accelerators,
		Near:           c.Near,
		Payload:        []byte(c.Payload),
		RuntimeMillis:  c.Runtime.Milliseconds(),
		DeadlineMillis: c.Deadline.Milliseconds(),
		Key:            key,
		Idempotent:     !c.NonIdempotent,
		Checkpointing:  c.Checkpointing,
		Wait:           c.Wait,
		Durable:        c.Durable,
	})
	if err != nil {
		return refusalError(err)
	}
	return c.print(j, func() { printJob(*j) })
}

func printJob(j jayapi.Job) {
	fmt.Printf("%s  %-9s %-10s %-12s %s  age %s  attempts %d  stops %d\n", j.ID, j.State, j.Class, j.Kind, j.Shape, time.Duration(j.AgeMs)*time.Millisecond, j.Attempts, j.Stops)
	for i, a := range j.Answers {
		fmt.Printf("  member %d: %s\n", i, a)
	}
	if j.Refusal != nil {
		fmt.Printf("  %s (%s): %s\n", j.Refusal.Code, j.Refusal.Outcome, j.Refusal.Message)
	}
}

// Execute implements flags.Commander.
func (c *jobStatusCommand) Execute([]string) error {
	client, ctx, done := c.open()
	defer done()
	j, err := client.Job(ctx, c.Args.Job, c.WaitFor)
	if err != nil {
		return refusalError(err)
	}
	return c.print(j, func() { printJob(*j) })
}

// Execute implements flags.Commander.
func (c *jobCancelCommand) Execute([]string) error {
	client, ctx, done := c.open()
	defer done()
	j, err := client.Cancel(ctx, c.Args.Job)
	if err != nil {
		return refusalError(err)
	}
	return c.print(j, func() { printJob(*j) })
}

// Execute implements flags.Commander.
func (c *jobListCommand) Execute([]string) error {
	client, ctx, done := c.open()
	defer done()
	l, err := client.List(ctx, c.After, c.Limit)
	if err != nil {
		return refusalError(err)
	}
	return c.print(l, func() {
		for _, j := range l.Jobs {
			printJob(j)
		}
		if l.Next != "" {
			fmt.Printf("more after %s\n", l.Next)
		}
	})
}
