package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

var vocabulary = []string{"rental", "deposit", "mileage", "vehicle", "airport", "insurance", "waiver", "return", "filing", "annual", "founder", "reserve", "name", "statute", "clause", "branch"}

func randomWords(random *rand.Rand, count int) string {
	var text bytes.Buffer
	for i := range count {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(vocabulary[random.IntN(len(vocabulary))])
	}
	return text.String()
}

// randomLength returns a random length between 0.5 and 1.5 times the mean, at least 1.
func randomLength(random *rand.Rand, mean int) int {
	return max(1, mean/2+random.IntN(mean+1))
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

func chatBody(random *rand.Rand, model string, workload OnlineWorkload, number int) []byte {
	var messages []chatMessage
	if workload.Prefixes > 0 {
		prefix := rand.New(rand.NewPCG(uint64(random.IntN(workload.Prefixes)), workload.Seed))
		messages = append(messages, chatMessage{"system", randomWords(prefix, workload.PromptWords)})
	}
	question := fmt.Sprintf("request %d of seed %d: %s", number, workload.Seed, randomWords(random, randomLength(random, workload.PromptWords)))
	messages = append(messages, chatMessage{"user", question})
	return mustEncode(chatRequest{Model: model, Messages: messages, MaxTokens: randomLength(random, workload.AnswerTokens), Stream: true})
}

// mustEncode encodes a request or an item as JSON, which cannot fail for these types.
func mustEncode(plain any) []byte {
	encoded, err := json.Marshal(plain)
	if err != nil {
		panic("load: cannot encode request: " + err.Error())
	}
	return encoded
}
