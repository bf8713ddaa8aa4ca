package engine

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// A generated token is a space, a "q" and four hex digits.

var generatedSuffix = regexp.MustCompile(`(?: q[0-9a-f]{4})+$`)

const tokenBytes = len(" q0000")

// Prompt describes the prompt of a request, including the tokens of an earlier
// response that the request continues.
type Prompt struct {
	// Hash identifies the prompt without the generated tokens at its end.
	Hash uint64
	// Tokens is the length of the whole prompt in tokens; each word is one token.
	Tokens int
	// Generated is the number of generated tokens at the end of the prompt.
	Generated int
	// blocks holds one hash per block of blockWords words; each hash covers the
	// prompt up to the end of its block.
	blocks []uint64
}

// blockWords is the number of words in a block of the prefix cache.
const blockWords = 16

// ParsePrompt reads the prompt from the body of a chat or completion request.
func ParsePrompt(body []byte) Prompt {
	parsed := gjson.ParseBytes(body)
	text := parsed.Get("prompt").String()
	if messages := parsed.Get("messages"); messages.IsArray() {
		text = joinMessages(messages.Array())
	}
	base := generatedSuffix.ReplaceAllString(text, "")
	words := strings.Fields(text)
	return Prompt{
		Hash:      xxhash.Sum64String(strings.TrimRight(base, " \n")),
		Tokens:    len(words),
		Generated: (len(text) - len(base)) / tokenBytes,
		blocks:    chainBlocks(words),
	}
}

// joinMessages returns the messages as one text. An assistant message at the end has
// no role line, so that generated tokens continue it.
func joinMessages(messages []gjson.Result) string {
	var joined strings.Builder
	for i, message := range messages {
		continued := i == len(messages)-1 && message.Get("role").String() == "assistant"
		if !continued {
			joined.WriteString("\n" + message.Get("role").String() + ": ")
		}
		joined.WriteString(message.Get("content").String())
	}
	return joined.String()
}

func chainBlocks(words []string) []uint64 {
	var blocks []uint64
	var previous uint64
	for start := 0; start+blockWords <= len(words); start += blockWords {
		var digest xxhash.Digest
		digest.ResetWithSeed(previous)
		_, _ = digest.WriteString(strings.Join(words[start:start+blockWords], " "))
		previous = digest.Sum64()
		blocks = append(blocks, previous)
	}
	return blocks
}

// Token returns the generated token at an index of the response to a prompt.
func Token(promptHash uint64, index int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], promptHash)
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	return fmt.Sprintf(" q%04x", uint16(xxhash.Sum64(key[:])))
}

// unlimitedLength returns the length in tokens of the response without a token limit.
func unlimitedLength(promptHash uint64, maxAnswerTokens int) int {
	return 1 + int(promptHash>>7)%maxAnswerTokens
}

// defaultMaxTokens is the token limit of a request that states none.
const defaultMaxTokens = 64

// ResponseLength returns the number of tokens of the whole response to a request,
// including those already in the prompt, and whether the token limit truncates it.
func ResponseLength(body []byte, prompt Prompt, maxAnswerTokens int) (int, bool) {
	limit := int(gjson.GetBytes(body, "max_tokens").Int())
	if limit <= 0 {
		limit = int(gjson.GetBytes(body, "max_completion_tokens").Int())
	}
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	limit += prompt.Generated
	natural := unlimitedLength(prompt.Hash, maxAnswerTokens)
	if natural > limit {
		return limit, true
	}
	return natural, false
}

// ExpectedResponse returns the whole text of the correct response to a request.
func ExpectedResponse(body []byte, maxAnswerTokens int) string {
	prompt := ParsePrompt(body)
	length, _ := ResponseLength(body, prompt, maxAnswerTokens)
	var text strings.Builder
	for index := range length {
		text.WriteString(Token(prompt.Hash, index))
	}
	return text.String()
}
