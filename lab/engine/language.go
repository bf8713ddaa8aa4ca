package engine

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"
)

// The emulated language: a token is a space, a "q" and four hex digits.

var generatedTail = regexp.MustCompile(`(?: q[0-9a-f]{4})+$`)

const tokenBytes = len(" q0000")

// Prompt is what a request asks to be continued.
type Prompt struct {
	// Hash identifies the prompt without the tokens generated already.
	Hash uint64
	// Tokens is the length of the whole prompt in tokens (words).
	Tokens int
	// Generated is the number of trailing tokens that were generated already.
	Generated int
	// blocks are chained hashes of the prompt's blocks of words.
	blocks []uint64
}

const blockWords = 16

// ParsePrompt reads the prompt of a chat or completion body.
func ParsePrompt(body []byte) Prompt {
	parsed := gjson.ParseBytes(body)
	text := parsed.Get("prompt").String()
	if messages := parsed.Get("messages"); messages.IsArray() {
		text = joinMessages(messages.Array())
	}
	base := generatedTail.ReplaceAllString(text, "")
	words := strings.Fields(text)
	return Prompt{
		Hash:      xxhash.Sum64String(strings.TrimRight(base, " \n")),
		Tokens:    len(words),
		Generated: (len(text) - len(base)) / tokenBytes,
		blocks:    chainBlocks(words),
	}
}

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

// Token returns the generated token at an index of the answer to a prompt.
func Token(promptHash uint64, index int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], promptHash)
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	return fmt.Sprintf(" q%04x", uint16(xxhash.Sum64(key[:])))
}

// naturalLength is where the model would stop by itself.
func naturalLength(promptHash uint64, maxAnswer int) int {
	return 1 + int(promptHash>>7)%maxAnswer
}

const defaultMaxTokens = 64

// AnswerLength returns the tokens of the whole answer to a body, including
// those generated before, and whether the token limit cut it.
func AnswerLength(body []byte, prompt Prompt, maxAnswer int) (int, bool) {
	limit := int(gjson.GetBytes(body, "max_tokens").Int())
	if limit <= 0 {
		limit = int(gjson.GetBytes(body, "max_completion_tokens").Int())
	}
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	limit += prompt.Generated
	natural := naturalLength(prompt.Hash, maxAnswer)
	if natural > limit {
		return limit, true
	}
	return natural, false
}

// ExpectedAnswer returns the whole text a correct system answers to a body.
func ExpectedAnswer(body []byte, maxAnswer int) string {
	prompt := ParsePrompt(body)
	length, _ := AnswerLength(body, prompt, maxAnswer)
	var text strings.Builder
	for index := range length {
		text.WriteString(Token(prompt.Hash, index))
	}
	return text.String()
}
