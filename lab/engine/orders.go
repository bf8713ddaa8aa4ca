package engine

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

// engineState is the state that an engine reports to nodes.
type engineState struct {
	Fence    uint64   `json:"fence"`
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Loading  bool     `json:"loading"`
	Boot     string   `json:"boot"`
}

// serves reports whether the engine has the model, or an adapter of that name, loaded.
func (s engineState) serves(model string) bool {
	if s.Model == model {
		return true
	}
	for _, adapter := range s.Adapters {
		if adapter == model {
			return true
		}
	}
	return false
}

// order executes an order of a node. An order with a fence below the highest one
// seen is rejected, so that a former owner cannot revert the orders of its successor.
func (e *Engine) order(c fiber.Ctx) error {
	var order struct {
		Fence   uint64 `json:"fence"`
		Kind    string `json:"kind"`
		Model   string `json:"model"`
		Version string `json:"version"`
		Adapter string `json:"adapter"`
	}
	if err := json.Unmarshal(c.Body(), &order); err != nil {
		return respondError(c, fiber.StatusBadRequest, "body is not an order")
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fence < e.state.Fence {
		return respondError(c, fiber.StatusConflict, fmt.Sprintf("fence %d is below %d", order.Fence, e.state.Fence))
	}
	e.state.Fence = order.Fence
	switch order.Kind {
	case "load":
		if e.state.Model != order.Model || e.state.Version != order.Version {
			e.startLoad(order.Model, order.Version)
		}
	case "adapter":
		if !e.state.serves(order.Adapter) {
			e.state.Adapters = append(e.state.Adapters, order.Adapter)
		}
	default:
		return respondError(c, fiber.StatusBadRequest, "unknown order kind "+order.Kind)
	}
	return c.JSON(e.state)
}

// startLoad loads a model from the weight store in the background; without a weight
// store the model is loaded at once. The caller holds the mutex.
func (e *Engine) startLoad(model, version string) {
	if e.parameters.WeightStore == "" {
		e.state.Model, e.state.Version = model, version
		return
	}
	e.state.Loading = true
	stop := e.stop
	go func() {
		loaded := e.fetchWeights(model, version, stop)
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.state.Loading = false
		if loaded {
			e.state.Model, e.state.Version = model, version
		}
	}()
}

// fetchWeights downloads and discards the weights of a model version, and reports
// whether all bytes arrived.
func (e *Engine) fetchWeights(model, version string, stop <-chan struct{}) bool {
	client := &fasthttp.Client{StreamResponseBody: true}
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(fmt.Sprintf("%s/weights/%s/%s?bytes=%d", e.parameters.WeightStore, model, version, e.parameters.WeightBytes))
	if err := client.Do(request, response); err != nil {
		return false
	}
	defer func() { _ = response.CloseBodyStream() }()
	select {
	case <-stop:
		return false
	default:
	}
	read, err := io.Copy(io.Discard, response.BodyStream())
	return err == nil && read >= e.parameters.WeightBytes
}

func (e *Engine) describe(c fiber.Ctx) error {
	_, state := e.current()
	return c.JSON(state)
}
