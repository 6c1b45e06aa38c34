// Command caller streams a chat completion from an entry with an unmodified client library for this API, go-openai.
//
// Run it against the deployment in examples/local:
//
//	go run ./examples/caller --entry 127.0.0.1:8080 --key-file examples/local/desk.key --model listing-text
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/sashabaranov/go-openai"
)

type options struct {
	Entry   string `arg:"required,--entry" help:"address of an entry"`
	KeyFile string `arg:"required,--key-file" help:"file that holds the bearer key of the client account"`
	Model   string `arg:"required,--model" help:"name of the model"`
	Prompt  string `default:"Describe a calm, elderly dog who likes children." help:"prompt"`
}

func main() {
	var opts options
	arg.MustParse(&opts)
	if err := run(context.Background(), opts, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, opts options, out io.Writer) error {
	key, err := os.ReadFile(opts.KeyFile)
	if err != nil {
		return fmt.Errorf("read key: %w", err)
	}
	cfg := openai.DefaultConfig(strings.TrimSpace(string(key)))
	cfg.BaseURL = "http://" + opts.Entry + "/v1"
	str, err := openai.NewClientWithConfig(cfg).CreateChatCompletionStream(ctx, openai.ChatCompletionRequest{
		Model:               opts.Model,
		MaxCompletionTokens: 32,
		Messages:            []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: opts.Prompt}},
	})
	if err != nil {
		return fmt.Errorf("start stream: %w", err)
	}
	defer func() { _ = str.Close() }()
	for {
		part, err := str.Recv()
		if errors.Is(err, io.EOF) {
			_, err = fmt.Fprintln(out)
			return err
		}
		if err != nil {
			return fmt.Errorf("read stream: %w", err)
		}
		for _, cho := range part.Choices {
			if _, err := fmt.Fprint(out, cho.Delta.Content); err != nil {
				return fmt.Errorf("write text: %w", err)
			}
		}
	}
}
