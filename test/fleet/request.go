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

// Response is what a caller learned.
type Response struct {
	Status    int
	RequestID string
	Outcome   string
	Body      string
	// ChunkOffsets are the offsets of the chunks of a streamed response; Complete reports its end mark.
	ChunkOffsets []int
	Text         string
	Complete     bool
}

// PostOrder posts an order with an idempotency key.
func PostOrder(ctx context.Context, node *Process, token, key, body string) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Address+"/services/orders/orders", strings.NewReader(body))
	if err != nil {
		return Response{}, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	return send(r)
}

// PostChat asks for a completion of a number of tokens, streamed or not.
func PostChat(ctx context.Context, node *Process, token, prompt string, tokens int, stream bool) (Response, error) {
	r, err := chatRequest(ctx, node, token, prompt, tokens, stream)
	if err != nil {
		return Response{}, err
	}
	return send(r)
}

func chatRequest(ctx context.Context, node *Process, token, prompt string, tokens int, stream bool) (*http.Request, error) {
	body := fmt.Sprintf(`{"model":"planner","stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, stream, tokens, prompt)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.Address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	return r, nil
}

func send(r *http.Request) (Response, error) {
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := Response{
		Status:    response.StatusCode,
		RequestID: response.Header.Get("Lagoongw-Request-Id"),
		Outcome:   response.Header.Get("Lagoongw-Outcome"),
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err = answer.readStream(response.Body)
		answer.Outcome = response.Trailer.Get("Lagoongw-Outcome")
		return answer, err
	}
	body, err := io.ReadAll(response.Body)
	answer.Body = string(body)
	return answer, err
}

func (a *Response) readStream(body io.Reader) error {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, isData := strings.CutPrefix(scanner.Text(), "data: ")
		if !isData {
			continue
		}
		if data == "[DONE]" {
			a.Complete = true
			continue
		}
		var piece wire.ChatAnswer
		if err := json.Unmarshal([]byte(data), &piece); err != nil {
			return err
		}
		if len(piece.Choices) == 0 || piece.Choices[0].Delta == nil {
			continue
		}
		a.ChunkOffsets = append(a.ChunkOffsets, piece.Offset)
		a.Text += piece.Choices[0].Delta.Content
	}
	return scanner.Err()
}

// GetStock reads the stock, which may be repeated.
func GetStock(ctx context.Context, node *Process, token string) (Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Address+"/services/orders/stock", nil)
	if err != nil {
		return Response{}, err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	return send(r)
}

// Send sends any request.
func Send(ctx context.Context, node *Process, method, path, token string, header http.Header, body string) (Response, error) {
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

// IssueKey asks a node for a key that it alone will dispatch.
func IssueKey(ctx context.Context, node *Process, token string) (string, error) {
	answer, err := Send(ctx, node, http.MethodPost, "/v1/keys", token, nil, "")
	if err != nil {
		return "", err
	}
	var key wire.KeyAnswer
	err = json.Unmarshal([]byte(answer.Body), &key)
	return key.Key, err
}

// ReadFirstChunks asks for a long stream, and counts pieces until there are enough; then it leaves.
func ReadFirstChunks(ctx context.Context, node *Process, token, prompt string, enough int) (int, error) {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	r, err := chatRequest(ctx, node, token, prompt, 1000, true)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	pieces := 0
	for scanner := bufio.NewScanner(response.Body); pieces < enough && scanner.Scan(); {
		if strings.HasPrefix(scanner.Text(), "data: ") {
			pieces++
		}
	}
	return pieces, nil
}
