package e2e

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"github.com/merlinpost/merlinpost/internal/standin/engine"
)

// Guards against the API becoming incompatible with the unmodified official OpenAI client library.
func TestPublishedClientLibrary(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t.TempDir(), clusterConfig{Routers: 1, Engines: 1})
	t.Cleanup(c.close)
	g.Expect(c.start()).To(Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	client := openai.NewClient(option.WithBaseURL("http://"+c.callerAddress("router-0")+"/v1/"), option.WithAPIKey(teamKey),
		option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{Model: "advisory", MaxTokens: openai.Int(12),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("when is my turn?")}}
	want := engine.Answer("when is my turn?", 0, 12)

	chat, err := client.Chat.Completions.New(ctx, params)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(chat.Choices[0].Message.Content).To(Equal(want))
	g.Expect(chat.Usage.CompletionTokens).To(BeEquivalentTo(12))

	stream := client.Chat.Completions.NewStreaming(ctx, params)
	text := ""
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			text += choices[0].Delta.Content
		}
	}
	g.Expect(stream.Err()).NotTo(HaveOccurred())
	g.Expect(text).To(Equal(want))

	completion, err := client.Completions.New(ctx, openai.CompletionNewParams{Model: "advisory", MaxTokens: openai.Int(5),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("plain prompt")}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(completion.Choices[0].Text).To(Equal(engine.Answer("plain prompt", 0, 5)))

	models, err := client.Models.List(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(models.Data[0].ID).To(Equal("advisory"))

	_, err = client.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: "no such model", Messages: params.Messages})
	g.Expect(err).To(MatchError(ContainSubstring("unknown_model")))
}
