package openai

import (
	"sort"

	"github.com/gofiber/fiber/v3"

	"cobaltramp.example/cobaltramp/internal/app/result"
)

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type listBody[T any] struct {
	Object  string `json:"object"`
	Data    []T    `json:"data"`
	HasMore bool   `json:"has_more"`
	FirstID string `json:"first_id,omitempty"`
	LastID  string `json:"last_id,omitempty"`
}

func (m *Module) listModels(c fiber.Ctx, caller *callerIdentity) error {
	list := listBody[modelBody]{Object: "list", Data: []modelBody{}}
	for name := range caller.snapshot.Models {
		if caller.tenant.MayCall(name) {
			list.Data = append(list.Data, modelBody{ID: name, Object: "model", OwnedBy: "cobaltramp"})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return c.JSON(list)
}

func (m *Module) getModel(c fiber.Ctx, caller *callerIdentity) error {
	name := c.Params("id")
	if _, known := caller.snapshot.Models[name]; !known || !caller.tenant.MayCall(name) {
		return result.New(result.UnknownModel, "model %q does not exist", name)
	}
	return c.JSON(modelBody{ID: name, Object: "model", OwnedBy: "cobaltramp"})
}
