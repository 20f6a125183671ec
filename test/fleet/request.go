package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"lagoongw/internal/protocol/wire"
)

// Response is a node's response as a caller received it.
type Response struct {
	Status    int
	RequestID string
	// Outcome is the value of the Lagoongw-Outcome header or, for a streamed response, trailer.
	Outcome string
	// Body is the body of a response that is not streamed.
	Body string
	// ChunkOffsets holds the offset of each chunk of a streamed response, in tokens from the start of the text.
	ChunkOffsets []int
	// Text is the concatenated content of the chunks.
	Text string
	// Complete reports whether the stream ended with its [DONE] marker.
	Complete bool
}

// PostOrder posts an order, with an idempotency key unless key is empty.
func PostOrder(ctx context.Context, node *Process, token, key, body string) (Response, error) {
	r, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+node.Address+"/services/orders/orders", strings.NewReader(body))
	if err != nil {
		return Response{}, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return send(r)
}

// PostChat requests a chat completion of at most the given number of tokens, streamed or not.
func PostChat(ctx context.Context, node *Process, token, prompt string, tokens int, stream bool) (Response, error) {
	r, err := chatRequest(ctx, node, token, prompt, tokens, stream)
	if err != nil {
		return Response{}, err
	}
	return send(r)
}

func chatRequest(
	ctx context.Context, node *Process, token, prompt string, tokens int, stream bool,
) (*http.Request, error) {
	body := fmt.Sprintf(
		`{"model":"planner","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		stream, tokens, prompt)
	r, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+node.Address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

func send(r *http.Request) (Response, error) {
	httpResponse, err := http.DefaultClient.Do(r)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response := Response{
		Status:    httpResponse.StatusCode,
		RequestID: httpResponse.Header.Get("Lagoongw-Request-Id"),
		Outcome:   httpResponse.Header.Get("Lagoongw-Outcome"),
	}
	if strings.HasPrefix(httpResponse.Header.Get("Content-Type"), "text/event-stream") {
		err = response.readStream(httpResponse.Body)
		response.Outcome = httpResponse.Trailer.Get("Lagoongw-Outcome")
		return response, err
	}
	body, err := io.ReadAll(httpResponse.Body)
	response.Body = string(body)
	return response, err
}

// readStream reads the server-sent events of a streamed chat completion.
func (r *Response) readStream(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			continue
		}
		var chunk wire.ChatAnswer
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return err
		}
		if len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil {
			continue
		}
		r.ChunkOffsets = append(r.ChunkOffsets, chunk.Offset)
		r.Text += chunk.Choices[0].Delta.Content
	}
	return scanner.Err()
}

// GetStock requests the stock, which a node may retry: the rule for it has idempotent=yes.
func GetStock(ctx context.Context, node *Process, token string) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Address+"/services/orders/stock", nil)
	if err != nil {
		return Response{}, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	return send(r)
}

// Send sends a request to a node, with a bearer token unless token is empty.
func Send(
	ctx context.Context, node *Process, method, path, token string, header http.Header, body string,
) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+node.Address+path, strings.NewReader(body))
	if err != nil {
		return Response{}, err
	}
	for name, values := range header {
		r.Header[name] = values
	}
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	return send(r)
}

// IssueKey requests an idempotency key from a node. Every other node refuses requests with that key.
func IssueKey(ctx context.Context, node *Process, token string) (string, error) {
	response, err := Send(ctx, node, http.MethodPost, "/v1/keys", token, nil, "")
	if err != nil {
		return "", err
	}
	var key wire.KeyAnswer
	err = json.Unmarshal([]byte(response.Body), &key)
	return key.Key, err
}

// ReadFirstChunks requests a stream of 1000 tokens and returns the number of chunks read, at most limit. Before it
// disconnects, it calls whileOpen with the stream still open.
func ReadFirstChunks(
	ctx context.Context, node *Process, token, prompt string, limit int, whileOpen func(),
) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r, err := chatRequest(ctx, node, token, prompt, 1000, true)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	chunks := 0
	for scanner := bufio.NewScanner(response.Body); chunks < limit && scanner.Scan(); {
		if strings.HasPrefix(scanner.Text(), "data: ") {
			chunks++
		}
	}
	whileOpen()
	return chunks, nil
}
